package ledger

import "encoding/json"

// Encode returns the data of a row. It panics on a value of a type that has no
// JSON form.
func Encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
