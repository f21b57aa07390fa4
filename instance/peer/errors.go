package peer

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/papayarail/papayarail/core/verdict"
)

// codeVerdict marks a JSON-RPC error whose data is a verdict.Error.
const codeVerdict = -32050

func toRPC(err error) *jsonrpc2.Error {
	out := &jsonrpc2.Error{Code: codeVerdict, Message: err.Error()}
	out.SetError(verdict.As(err))
	return out
}

// fromRPC turns the error of a call into a verdict. A call whose link broke
// after sending has an unknown outcome.
func fromRPC(method string, err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) {
		return verdict.New(verdict.OutcomeUnknown, "%s: link lost after sending: %v", method, err)
	}
	if rpc.Code != codeVerdict || rpc.Data == nil {
		return verdict.New(verdict.Internal, "%s: %v", method, rpc)
	}
	v := &verdict.Error{}
	if json.Unmarshal(*rpc.Data, v) != nil {
		return verdict.New(verdict.Internal, "%s: %v", method, rpc)
	}
	return v
}
