package controller

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
)

// intentPage is a page of the intent log in the tests of stored formats. It is decoded and encoded by the
// product: by ReadPage, and by a log that records the intents.
type intentPage struct {
	entries []intentlog.Entry
}

var errNoPageWritten = errors.New("the intent log wrote no page")

// UnmarshalJSON implements json.Unmarshaler.
func (p *intentPage) UnmarshalJSON(raw []byte) (err error) {
	p.entries, err = intentlog.ReadPage(raw)
	return err
}

// MarshalJSON implements json.Marshaler. It returns the page that a log writes after all entries have been
// recorded; their tokens and times must be the same.
func (p *intentPage) MarshalJSON() ([]byte, error) {
	var written json.RawMessage
	first := p.entries[0]
	log := intentlog.NewLog(intentlog.Options{
		Token:   first.Token,
		ValueKB: 4,
		StateCall: func(call store.Call, done func(time.Time, store.Result)) {
			written = call.Transaction.Writes[0].Value
			done(first.DecidedAt, store.Result{Revision: 1})
		},
		WallClock:  func() time.Time { return first.DecidedAt },
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnTermLost: func(time.Time) {},
	})
	log.EnableDurability()
	now := first.DecidedAt
	for _, entry := range p.entries {
		log.Record(now, entry.Operation, entry.Target, "")
		now = now.Add(time.Minute) // past the interval between two writes of a page
	}
	if written == nil {
		return nil, errNoPageWritten
	}
	return written, nil
}
