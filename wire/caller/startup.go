package caller

import (
	"strings"

	"github.com/papayarail/papayarail/wire/classify"
)

// ignoredParameters are start-up parameters that are accepted but not applied
// to upstream sessions. Common drivers always send them and can read answers
// formatted with the settings of the upstream session.
var ignoredParameters = map[string]bool{
	"application_name": true, "extra_float_digits": true, "timezone": true, "datestyle": true, "intervalstyle": true,
}

// parseStartup checks the parameters of a StartupMessage. Errors are *refusal.
func parseStartup(raw map[string]string) (Startup, error) {
	s := Startup{Parameters: make(map[string]string)}
	// Named parameters override those inside options, so options come first.
	if err := s.parseOptions(raw["options"]); err != nil {
		return Startup{}, err
	}
	for name, value := range raw {
		if err := s.setStartupParameter(strings.ToLower(name), value); err != nil {
			return Startup{}, err
		}
	}
	if s.User == "" {
		return Startup{}, newRefusal(sqlStateNotAllowed, "no PostgreSQL user name specified in startup packet")
	}
	if s.Database == "" {
		s.Database = s.User
	}
	return s, nil
}

func (s *Startup) setStartupParameter(name, value string) error {
	switch name {
	case "user":
		s.User = value
		return nil
	case "database":
		s.Database = value
		return nil
	case "options":
		return nil
	default:
		return s.setSessionParameter(name, value)
	}
}

func (s *Startup) setSessionParameter(name, value string) error {
	switch {
	case strings.HasPrefix(name, classify.ParameterPrefix):
		if err := checkParameter(name, value); err != nil {
			return err
		}
		s.Parameters[name] = value
	case name == "client_encoding":
		return checkEncoding(value)
	case name == "application_name":
		s.Parameters[name] = value
	case ignoredParameters[name], strings.HasPrefix(name, "_pq_."):
	default:
		return newRefusal(sqlStateUnsupported, "start-up parameter \""+name+"\" is not supported")
	}
	return nil
}

// checkEncoding accepts UTF-8 and SQL_ASCII, neither of which needs a conversion
// of the text.
func checkEncoding(value string) error {
	switch strings.ToLower(strings.ReplaceAll(strings.Trim(value, "'"), "-", "")) {
	case "utf8", "unicode", "sql_ascii":
		return nil
	}
	return newRefusal(sqlStateUnsupported, "client_encoding \""+value+"\" is not supported, use UTF8")
}

// parseOptions applies the command-line options of a StartupMessage, written as
// -c name=value or --name=value.
func (s *Startup) parseOptions(options string) error {
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c") && len(word) > len("-c"):
			word = word[len("-c"):]
		case strings.HasPrefix(word, "--"):
			word = word[len("--"):]
		default:
			return newRefusal(sqlStateUnsupported, "start-up option \""+word+"\" is not supported")
		}
		name, value, found := strings.Cut(word, "=")
		if !found {
			return newRefusal(sqlStateProtocolViolation, "start-up option \""+word+"\" has no value")
		}
		name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
		if err := s.setSessionParameter(name, value); err != nil {
			return err
		}
	}
	return nil
}

// splitOptions splits at white space; a backslash escapes the next character.
func splitOptions(options string) []string {
	var words []string
	var word strings.Builder
	inWord, escaped := false, false
	for _, r := range []byte(options) {
		switch {
		case escaped:
			word.WriteByte(r)
			escaped = false
		case r == '\\':
			inWord, escaped = true, true
		case r == ' ' || r == '\t' || r == '\n' || r == '\r':
			if inWord {
				words = append(words, word.String())
				word.Reset()
			}
			inWord = false
		default:
			inWord = true
			word.WriteByte(r)
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}
