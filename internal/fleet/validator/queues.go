package validator

import "fmt"

// queues checks the job queues.
func (c *checker) queues() {
	services := make(map[string]bool)
	for _, s := range c.Config.Services {
		services[s.Name] = true
	}
	names := make([]string, 0, len(c.Config.Queues))
	for _, q := range c.Config.Queues {
		names = append(names, q.Name)
	}
	c.names("queues", names)
	for i, q := range c.Config.Queues {
		path := fmt.Sprintf("queues[%d]", i)
		if q.Service != "" && !services[q.Service] {
			c.add(path+".service", "there is no service %q", q.Service)
		}
		if q.Priority < 0 || q.Priority > MaxPriority {
			c.add(path+".priority", "want 0 to %d, not %d", MaxPriority, q.Priority)
		}
		if q.MaxFailures < 1 || q.MaxFailures > MaxAttempts {
			c.add(path+".max-failures", "want 1 to %d, not %d", MaxAttempts, q.MaxFailures)
		}
		if q.Slack < 1 || q.Slack > MaxSlack {
			c.add(path+".slack", "want 1 to %d, not %v", MaxSlack, q.Slack)
		}
		if q.Target < 0 || q.Target > MaxTarget {
			c.add(path+".target", "want 0 to %s, not %s", MaxTarget, q.Target)
		}
	}
}
