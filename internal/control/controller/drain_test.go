package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/store/keeper"
)

// notOwning fails the test if the controller owns the cell within the next few leases.
func notOwning(t *testing.T, c *Controller) {
	t.Helper()
	for end := time.Now().Add(3 * ownerLease); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c.current.Load() != nil {
			t.Fatal("the drained process owns the cell")
		}
	}
}

// Guards against a process that acquires the cell although it is about to end: it was drained
// while another process owned the cell, which then ended. Every call would fail until its
// lease has expired as well.
func TestDrainedProcessDoesNotAcquire(t *testing.T) {
	c := newCell(t, 0, 2)
	owning := func(i int) func() bool { return func() bool { return c.controllers[i].current.Load() != nil } }
	c.waitFor("an owner", func() bool { return owning(0)() || owning(1)() })
	owner, other := 0, 1
	if owning(1)() {
		owner, other = 1, 0
	}
	ctx, cancel := context.WithTimeout(c.ctx, testLimit)
	defer cancel()
	if err := c.controllers[other].Drain(ctx); err != nil {
		t.Fatal(err)
	}
	c.stops[owner]()
	notOwning(t, c.controllers[other])
}

// Guards against a process that owns the cell after its drain has returned, since it was
// reading the journal meanwhile, and against a lease that it then keeps from others.
func TestProcessDrainedWhileItRecoversReleasesTheCell(t *testing.T) {
	recovering, proceed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	c := newCellWith(t, 0, 1, func(config *Config) {
		fleet := config.Fleet
		config.OwnerLease = testLimit
		config.Fleet = func() *describer.Fleet {
			once.Do(func() { close(recovering) })
			<-proceed
			return fleet()
		}
	})
	<-recovering
	drained := make(chan error, 1)
	go func() { drained <- c.controllers[0].Drain(c.ctx) }()
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if _, err := c.controllers[0].config.Keeper.GetRecord(c.ctx, "cells/c1/owner"); !keeper.IsErrKeyNotExist(err) {
		t.Errorf("the owner's record was not released: %v", err)
	}
	notOwning(t, c.controllers[0])
}
