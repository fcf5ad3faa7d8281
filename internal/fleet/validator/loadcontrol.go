package validator

import (
	"fmt"
	"slices"

	"bamboospread/internal/job/specifier"
)

// loadControl checks the names of the decisions under load.
func (c *checker) loadControl() {
	for i, name := range c.Config.LoadControl {
		path := fmt.Sprintf("load-control[%d]", i)
		if _, err := specifier.ParseLoadControl([]string{name}); err != nil {
			c.add(path, "%v", err)
		}
		if slices.Contains(c.Config.LoadControl[:i], name) {
			c.add(path, "%q is given twice", name)
		}
	}
}
