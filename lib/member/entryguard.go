package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// checksPerSecond limits the checks of entries by all members after the store has lost changes.
	checksPerSecond = 2000
	// entryCheckInterval is how often a process checks its entry at the least, so that it replaces one that was marked for removal
	// before it is deleted.
	entryCheckInterval = 10 * time.Minute
	// firstSilence is how long a process hears nothing from others before it checks its entry; the time doubles with each check. The
	// others may have restarted without learning of it, since the store has lost its entry.
	firstSilence = 2 * time.Second
)

// EntryGuardConfig configures an EntryGuard.
type EntryGuardConfig struct {
	Directory *Directory
	Log       *logs.Logger
	Members   func() int        // number of members, as far as known
	SetListed func(listed bool) // called when the entry was found lost, and when it is stored again; may be nil
	Store     store.Store
}

// EntryGuard stores the entry of a process again after the store has lost it with its latest changes, or after it was marked for
// removal. Only the store's own answers show that; what other processes state, or their silence, makes the guard ask the store.
type EntryGuard struct {
	checkDue   time.Time // when the next check is due at the latest; zero before the first Poll
	checkedEra uint64    // era of the store at the last check; zero when another one is due
	config     EntryGuardConfig
	due        chan struct{}
	eras       store.Eras
	heardAt    time.Time     // when another process was last heard; zero for a process that does not depend on that
	mu         sync.Mutex    // guards checkDue, checkedEra, heardAt, silence and statedEra
	silence    time.Duration // time without hearing others after which the next check is due
	statedEra  uint64        // latest era that another process has stated
}

// NewEntryGuard returns the guard of a process's entry.
func NewEntryGuard(config EntryGuardConfig) *EntryGuard {
	return &EntryGuard{config: config, due: make(chan struct{}, 1)}
}

// Due returns a channel that holds an element when Check is due.
func (g *EntryGuard) Due() <-chan struct{} { return g.due }

// Era returns the latest era that the store has stated; zero while none is known.
func (g *EntryGuard) Era() uint64 { return g.eras.Latest() }

// EraAge returns for how long the latest era has been known.
func (g *EntryGuard) EraAge(now time.Time) time.Duration { return g.eras.Age(now) }

// Poll records the era that the store has stated last, and reports whether the store has lost changes since the last call. It must be
// called regularly.
func (g *EntryGuard) Poll(now time.Time) bool {
	g.pollInterval(now)
	era := g.config.Store.Era()
	if !g.eras.Record(now, era) {
		return false
	}
	g.config.Log.Warn("Entries and snapshots may be lost.", logs.Fields{"era": era})
	g.request()
	return true
}

// pollInterval requests a check when the last one is too long ago. The interval is drawn anew each time, so that processes that have
// started together don't check together.
func (g *EntryGuard) pollInterval(now time.Time) {
	g.mu.Lock()
	due := !g.checkDue.IsZero() && !now.Before(g.checkDue)
	if due || g.checkDue.IsZero() {
		g.checkDue = now.Add(entryCheckInterval/2 + rand.N(entryCheckInterval/2))
	}
	g.mu.Unlock()
	if due {
		g.requestAnew()
	}
}

// PollSilence requests a check when no other process has been heard for long. It must be called regularly by a process that others
// have to find.
func (g *EntryGuard) PollSilence(now time.Time) {
	g.mu.Lock()
	silent := !g.heardAt.IsZero() && now.Sub(g.heardAt) >= g.silence
	if silent {
		g.silence *= 2
	}
	g.mu.Unlock()
	if silent {
		g.requestAnew()
	}
}

// RecordHeard records that another process was heard, with the era that it has stated.
func (g *EntryGuard) RecordHeard(now time.Time, era uint64) {
	g.mu.Lock()
	g.heardAt = now
	g.silence = firstSilence
	g.mu.Unlock()
	g.RecordStated(era)
}

// RecordStated records an era that another process has stated. If it is later than what the store has stated here, a check
// becomes due, which asks the store.
func (g *EntryGuard) RecordStated(era uint64) {
	g.mu.Lock()
	later := era > g.statedEra && era > g.config.Store.Era()
	g.statedEra = max(g.statedEra, era)
	g.mu.Unlock()
	if later {
		g.request()
	}
}

// Check reads the entry of the process, at a random moment so that all members together stay within what the store can read,
// and registers the process again if the entry is missing or marked for removal. It retries until that succeeds or the context ends.
func (g *EntryGuard) Check(ctx context.Context) {
	if g.isChecked() {
		return
	}
	netio.Sleep(ctx, checkPause(g.config.Members()))
	netio.Retry(ctx, func() error { return g.restoreEntry(ctx) }, func(err error) {
		g.config.Log.Warn("The entry of this process can't be checked.", logs.Fields{"error": err.Error()})
	})
}

// isChecked reports whether the entry was checked in the latest era that the store or another process has stated.
func (g *EntryGuard) isChecked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkedEra != 0 && g.checkedEra >= max(g.config.Store.Era(), g.statedEra)
}

func (g *EntryGuard) restoreEntry(ctx context.Context) error {
	listed, err := g.config.Directory.HasEntry(ctx)
	if err != nil {
		return err
	}
	era := g.config.Store.Era()
	if !listed {
		g.config.Log.Info("The entry of this process was lost or marked for removal.", logs.Fields{"era": era})
		g.setListed(false)
		if err := g.config.Directory.Register(ctx); err != nil {
			return err
		}
		g.setListed(true)
	}
	g.mu.Lock()
	g.checkedEra = era
	g.mu.Unlock()
	return nil
}

func (g *EntryGuard) setListed(listed bool) {
	if g.config.SetListed != nil {
		g.config.SetListed(listed)
	}
}

// requestAnew requests a check also if the entry was checked in the latest era.
func (g *EntryGuard) requestAnew() {
	g.mu.Lock()
	g.checkedEra = 0
	g.mu.Unlock()
	g.request()
}

func (g *EntryGuard) request() {
	select {
	case g.due <- struct{}{}:
	default:
	}
}

// checkPause returns a random pause before a member checks its entry, so that the given number of members together stay
// within what the store can read.
func checkPause(members int) time.Duration {
	return time.Duration(rand.Float64() * float64(members) / checksPerSecond * float64(time.Second))
}
