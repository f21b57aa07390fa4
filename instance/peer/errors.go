package peer

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/papayarail/papayarail/core/verdict"
)

// errorCodeVerdict is the code of JSON-RPC errors whose data is a verdict.Error.
const errorCodeVerdict = -32050

func toRPC(err error) *jsonrpc2.Error {
	out := &jsonrpc2.Error{Code: errorCodeVerdict, Message: err.Error()}
	out.SetError(verdict.FromError(err))
	return out
}

// fromRPC converts the error of a call to a *verdict.Error. If the link failed after
// the request was sent, the outcome is unknown.
func fromRPC(method string, err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) {
		return verdict.New(verdict.OutcomeUnknown, "%s: link lost after sending: %v", method, err)
	}
	if rpc.Code != errorCodeVerdict || rpc.Data == nil {
		return verdict.New(verdict.Internal, "%s: %v", method, rpc)
	}
	v := &verdict.Error{}
	if json.Unmarshal(*rpc.Data, v) != nil {
		return verdict.New(verdict.Internal, "%s: %v", method, rpc)
	}
	return v
}
