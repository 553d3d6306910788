package ledger

import "encoding/json"

// Encode returns v as the data of a row. It panics if v cannot be encoded as JSON.
func Encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
