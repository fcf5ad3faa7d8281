package specifier

import (
	"fmt"
	"slices"
	"strings"
)

// DefaultWeight is the weight of a client account without settings.
const DefaultWeight = 1.0

// Account holds the settings of a client account (tenant), whose jobs share VMs with those of
// other accounts.
type Account struct {
	Name   string
	Weight float64   // share relative to other accounts, above 0
	Quota  Resources // of all its runs together; zero means no limit in that dimension
}

// AccountByName returns the settings of a client account, or the defaults.
func (p *Policy) AccountByName(name string) Account {
	for _, a := range p.Accounts {
		if a.Name == name {
			return a
		}
	}
	return Account{Name: name, Weight: DefaultWeight}
}

// LoadControl states which decisions under load the operators ask for. The zero value asks for
// none.
type LoadControl struct {
	Estimates bool // run times and the speeds of VMs are measured and used in place of declarations
	Admission bool // jobs that can no longer be of value to their callers are refused at once
	Shares    bool // room is shared between client accounts
	Forecast  bool // room is kept for the urgent tasks that are expected
}

// loadControls are the names of the decisions in settings.
var loadControls = map[string]func(c *LoadControl){
	"estimates": func(c *LoadControl) { c.Estimates = true },
	"admission": func(c *LoadControl) { c.Admission = true },
	"shares":    func(c *LoadControl) { c.Shares = true },
	"forecast":  func(c *LoadControl) { c.Forecast = true },
}

// ParseLoadControl returns the LoadControl with the named decisions.
func ParseLoadControl(names []string) (LoadControl, error) {
	var c LoadControl
	var unknown []string
	for _, name := range names {
		if set, ok := loadControls[name]; ok {
			set(&c)
		} else {
			unknown = append(unknown, fmt.Sprintf("%q", name))
		}
	}
	if len(unknown) == 0 {
		return c, nil
	}
	known := make([]string, 0, len(loadControls))
	for name := range loadControls {
		known = append(known, name)
	}
	slices.Sort(known)
	return LoadControl{}, fmt.Errorf("unknown load control %s; known are %s", strings.Join(unknown, ", "), strings.Join(known, ", "))
}
