package validator

import (
	"fmt"
	"strings"
)

// dependencies checks that depends-on names existing services and has no cycle:
// services in a cycle would wait for each other forever.
func (c *checker) dependencies() {
	index := make(map[string]int)
	for i, s := range c.Config.Services {
		index[s.Name] = i
	}
	for i, s := range c.Config.Services {
		seen := make(map[string]bool)
		for j, name := range s.DependsOn {
			path := fmt.Sprintf("services[%d].depends-on[%d]", i, j)
			if _, ok := index[name]; !ok {
				c.add(path, "there is no service %q", name)
			}
			if seen[name] {
				c.add(path, "the service %q is given twice", name)
			}
			seen[name] = true
		}
	}
	search := &cycleFinder{checker: c, index: index, state: make([]visitState, len(c.Config.Services))}
	for i := range c.Config.Services {
		search.visit(i)
	}
}

type visitState int

const (
	unvisited visitState = iota
	inProgress
	visited
)

// cycleFinder searches the dependencies depth first. An edge to a service whose
// visit is in progress closes a cycle, which is reported once, at that edge.
type cycleFinder struct {
	checker *checker
	index   map[string]int
	state   []visitState
	stack   []string
}

func (f *cycleFinder) visit(i int) {
	if f.state[i] != unvisited {
		return
	}
	service := f.checker.Config.Services[i]
	f.state[i] = inProgress
	f.stack = append(f.stack, service.Name)
	for j, name := range service.DependsOn {
		next, ok := f.index[name]
		if !ok {
			continue
		}
		if f.state[next] == inProgress {
			f.checker.add(fmt.Sprintf("services[%d].depends-on[%d]", i, j), "cycle: %s", f.cycle(name))
		}
		f.visit(next)
	}
	f.stack = f.stack[:len(f.stack)-1]
	f.state[i] = visited
}

// cycle formats the services from name to the top of the stack, followed by name.
func (f *cycleFinder) cycle(name string) string {
	from := 0
	for i, s := range f.stack {
		if s == name {
			from = i
		}
	}
	return strings.Join(append(append([]string{}, f.stack[from:]...), name), " needs ")
}
