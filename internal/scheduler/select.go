package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// Bounds of the work of one decision.
const (
	// placesLooked is how many places are rated at most for the first task of
	// a shape, placesAgain for each further one that is asked for with it.
	placesLooked = 128
	placesAgain  = 32
	// samplesInBucket is how many workers are tried in a bucket in which some
	// may fit, before it is put off until all else has failed.
	samplesInBucket = 4
	// samplesInBest is how many more workers are rated in the best bucket.
	samplesInBest = 4
)

// Placed is one run with the worker that it was booked on.
type Placed struct {
	Run
	Choice
}

// Select chooses the best worker for one task, or tells which rule turned down
// how many workers. Nothing is booked.
func (c *Cell) Select(a Ask) (Choice, *taskmsg.Refusal) {
	s := c.newSearch(&a)
	b, score := s.best()
	if b == nil {
		return Choice{}, s.refusal()
	}
	return Choice{Worker: b.Info.Name, Score: score}, nil
}

// Place chooses a worker for each run of one shape and books it, until one
// finds no room. The refusal is that of the first run not placed. A run that is
// booked already is passed over and missing from the result. Where aged work
// finds no room a worker is kept for it; see keep.
func (c *Cell) Place(a Ask, runs []Run, now time.Time) ([]Placed, *taskmsg.Refusal) {
	a.Shape.Zones = copyZones(a.Shape.Zones)
	placed := make([]Placed, 0, len(runs))
	s := c.newSearch(&a)
	for _, r := range runs {
		if _, dup := c.runs[r.Attempt]; dup {
			continue
		}
		b, score := s.best()
		if b == nil {
			refusal := s.refusal()
			if a.Shape.Aged && !refusal.Never {
				c.keep(&a, now)
			}
			return placed, refusal
		}
		c.book(b, r, now)
		if b.keptFor != "" {
			c.release(b.keptFor)
		}
		s.last, s.limit = b, placesAgain
		placed = append(placed, Placed{Run: r, Choice: Choice{Worker: b.Info.Name, Score: score}})
		a.Shape.Zones[b.Info.Zone]++
		if a.Shape.Policy.SpreadZones {
			s.rank()
		}
	}
	return placed, nil
}

// search is the state of the decisions for one ask.
type search struct {
	cell   *Cell
	ask    *Ask
	size   spec.Resources
	levels levels
	scores []score
	groups []rankedGroup
	unsure []unsureBucket
	// place is the place being rated; it stands here so that rating one does
	// not allocate.
	place place
	// least and most are the fewest and most runs of the job in a zone.
	least, most int
	// limit is how many places to rate.
	limit int
	// last is the worker chosen last; the next of the same shape often fits
	// best there too.
	last *book
}

// rankedGroup is a group that the hardware filters admit, with the best score
// that a worker in it could have.
type rankedGroup struct {
	*group
	place place // without free
	bound float64
}

// unsureBucket is a bucket in which no worker that fits was found by sampling.
type unsureBucket struct {
	*bucket
	group *rankedGroup
}

// newSearch reuses the cell's scratch memory: there is one search at a time.
func (c *Cell) newSearch(a *Ask) *search {
	s := &c.scratch
	size := a.size()
	*s = search{
		cell: c, ask: a, size: size, levels: levelsOf(size), scores: scoresOf(&a.Shape.Policy), limit: placesLooked,
		groups: s.groups[:0], unsure: s.unsure[:0],
	}
	for _, g := range c.index.order {
		if g.ready > 0 && hardwareAdmits(a, &g.size) {
			s.groups = append(s.groups, rankedGroup{group: g})
		}
	}
	s.rank()
	return s
}

// rank sorts the groups by the best score that a worker in them could have.
func (s *search) rank() {
	s.least, s.most = s.zoneRange()
	for i := range s.groups {
		g := &s.groups[i]
		g.place = s.placeIn(g.group)
		g.bound = bound(s.scores, s.ask, &g.place)
	}
	slices.SortStableFunc(s.groups, func(a, b rankedGroup) int { return cmp.Compare(b.bound, a.bound) })
}

// placeIn is what all places in a group have in common.
func (s *search) placeIn(g *group) place {
	return place{size: &g.size, zoneRuns: s.ask.Shape.Zones[g.zone], zoneLeast: s.least, zoneMost: s.most}
}

// zoneRange is the fewest and the most runs that the job has in a zone.
func (s *search) zoneRange() (least, most int) {
	for i := range s.groups {
		n := s.ask.Shape.Zones[s.groups[i].zone]
		if i == 0 || n < least {
			least = n
		}
		most = max(most, n)
	}
	return least, most
}

// candidate is the best place found so far.
type candidate struct {
	book   *book
	group  *rankedGroup
	score  float64
	looked int
}

// best finds the best worker that the sampling sees, and any worker with room
// before it finds none. It returns nil when no worker has room.
func (s *search) best() (*book, float64) {
	var c candidate
	s.unsure = s.unsure[:0]
	if k, ok := s.cell.kept[s.ask.Shape.Job]; ok && refusedBy(s.ask, k.book) == "" {
		g := rankedGroup{group: k.book.group}
		g.place = s.placeIn(k.book.group)
		s.rate(k.book, &g, &c)
		return c.book, c.score
	}
	for i := range s.groups {
		g := &s.groups[i]
		if c.book != nil && (g.bound <= c.score || c.looked >= s.limit) {
			break
		}
		if s.last != nil && s.last.group == g.group {
			s.rate(s.last, g, &c)
		}
		s.lookAtGroup(g, &c)
	}
	if c.book == nil {
		return s.fromUnsure()
	}
	for range samplesInBest {
		s.rate(s.anyOf(c.book.bucket), c.group, &c)
	}
	return c.book, c.score
}

// lookAtGroup rates one worker of each bucket that has room, from a random
// bucket on.
func (s *search) lookAtGroup(g *rankedGroup, c *candidate) {
	n := len(g.buckets)
	if n == 0 {
		return // its last worker was filled since the search began
	}
	first := s.cell.random.IntN(n)
	for i := range n {
		if c.looked >= s.limit {
			return
		}
		k := g.buckets[(first+i)%n]
		switch k.judge(s.levels, &s.size) {
		case allFit:
			s.rateSome(k, g, c, 1+len(s.ask.Shape.Avoid))
		case someMayFit:
			s.rateSome(k, g, c, samplesInBucket)
		}
	}
}

// rateSome rates the first worker that fits of a number of random ones. When
// there is none the bucket is put off.
func (s *search) rateSome(k *bucket, g *rankedGroup, c *candidate, samples int) {
	for range samples {
		if s.rate(s.anyOf(k), g, c) {
			return
		}
	}
	s.unsure = append(s.unsure, unsureBucket{k, g})
}

func (s *search) anyOf(k *bucket) *book {
	if len(k.books) == 1 {
		return k.books[0]
	}
	return k.books[s.cell.random.IntN(len(k.books))]
}

// rate compares one worker with the best so far; it reports whether the worker
// fits.
func (s *search) rate(b *book, g *rankedGroup, c *candidate) bool {
	free := b.free()
	if !s.size.Fits(free) || !admitsAvoid(s.ask, b) {
		return false
	}
	c.looked++
	s.place = g.place
	s.place.free = free
	if s.ask.Shape.Policy.SpreadRacks {
		s.place.rackRuns = s.cell.rackRuns(b, s.ask.Shape.Job)
	}
	if score := total(s.scores, s.ask, &s.place); c.book == nil || score > c.score {
		c.book, c.group, c.score = b, g, score
	}
	return true
}

// fromUnsure looks at every worker that may fit, once sampling found none.
func (s *search) fromUnsure() (*book, float64) {
	var c candidate
	for _, u := range s.unsure {
		for _, b := range u.books {
			s.rate(b, u.group, &c)
		}
		if c.book != nil {
			return c.book, c.score
		}
		u.tighten()
	}
	return nil, 0
}

// rackRuns counts the job's runs in the rack of b.
func (c *Cell) rackRuns(b *book, job string) int {
	n := 0
	for _, other := range c.index.racks[b.rack] {
		for _, k := range other.runs {
			if k.Attempt.Task.Job == job {
				n++
			}
		}
	}
	return n
}

func copyZones(zones map[string]int) map[string]int {
	out := make(map[string]int, len(zones)+1)
	for zone, n := range zones {
		out[zone] = n
	}
	return out
}
