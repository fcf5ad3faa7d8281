package messenger

import "bamboospread/internal/job/specifier"

// NoAccount stands for the client account without a name in a WorkAccountRequest and in what people read.
const NoAccount = "-"

// WorkAccountRequest asks for the standing of a client account.
type WorkAccountRequest struct {
	Account string `json:"account"`
}

// WorkAccountReply contains the standing of a client account. Known is false if the operators have
// not defined it and it has no jobs.
type WorkAccountReply struct {
	Known   bool                `json:"known"`
	Account string              `json:"account"`
	Epoch   int64               `json:"epoch"`  // epoch of the owner
	Shared  bool                `json:"shared"` // the operators ask for shares
	Defined bool                `json:"defined"`
	Weight  float64             `json:"weight"`
	Quota   specifier.Resources `json:"quota"` // zero: no limit in that dimension
	Held    specifier.Resources `json:"held"`  // by all its runs
	Jobs    int                 `json:"jobs"`  // that have not ended
	Rows    []WorkAccountRow    `json:"rows,omitempty"`
}

// WorkAccountRow is the standing of an account at one priority. Parts are of the cell, from 0 to 1.
type WorkAccountRow struct {
	Priority      int      `json:"priority"`
	LongRunning   bool     `json:"long-running,omitempty"`
	Share         float64  `json:"share"`
	Use           float64  `json:"use"`
	Recent        float64  `json:"recent"`
	Wants         float64  `json:"wants"`
	Waiting       int      `json:"waiting"`         // tasks
	LongestMillis int64    `json:"longest-wait-ms"` // of them
	Precedence    float64  `json:"precedence"`      // lower first
	AtQuota       bool     `json:"at-quota,omitempty"`
	FarMillis     int64    `json:"far-above-ms,omitempty"` // since when it has been far above its share
	Ahead         []string `json:"ahead,omitempty"`        // accounts whose waiting tasks start before its tasks
	Behind        []string `json:"behind,omitempty"`       // accounts whose waiting tasks start after its tasks
}
