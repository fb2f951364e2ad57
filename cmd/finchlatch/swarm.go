package main

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"finchlatch/model"
)

func swarmCommand() *cobra.Command {
	var runs, from uint64
	c := &cobra.Command{Use: "swarm", Short: "Play many short random runs in simulated time, and name the seeds that break a rule",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			var next, bad atomic.Uint64
			next.Store(from)
			var mu sync.Mutex
			var all sync.WaitGroup
			began := time.Now()
			for range runtime.GOMAXPROCS(0) {
				all.Add(1)
				go func() {
					defer all.Done()
					for seed := next.Add(1) - 1; seed < from+runs && cmd.Context().Err() == nil; seed = next.Add(1) - 1 {
						if err := model.Swarm(seed); err != nil {
							bad.Add(1)
							mu.Lock()
							fmt.Fprintf(cmd.OutOrStdout(), "%v\nagain: finchlatch swarm --from %d --runs 1\n", err, seed)
							mu.Unlock()
						}
					}
				}()
			}
			all.Wait()
			done := min(next.Load()-from, runs)
			fmt.Fprintf(cmd.OutOrStdout(), "%d runs from seed %d, %d of them bad, %.1f a second\n", done, from, bad.Load(),
				float64(done)/time.Since(began).Seconds())
			if bad.Load() > 0 {
				return errBroken
			}
			return nil
		}}
	c.Flags().Uint64Var(&runs, "runs", 200, "how many")
	c.Flags().Uint64Var(&from, "from", 0, "seed of the first")
	return c
}
