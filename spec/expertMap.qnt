// One expert map per step: the protocol of packages/core/src/core/
// mapProtocol.ts and mapCoordinator.ts, small enough to read in ten minutes.
//
// A rank accepts requests only under the highest fence that it has received. A
// change is prepared with a promise of every rank not to begin its step before
// the decision, then committed or aborted. Messages are a set that only grows:
// each may be delivered now, later, again, or never.
module expertMap {
  pure val RANKS = Set(1, 2, 3)
  // Fences are unique: coordinator c uses fence c, each once.
  pure val FENCES = Set(1, 2, 3)
  pure val LAST_STEP = 6

  // A change is named by the fence that prepared it; 0 is the first map.
  type Change = { fence: int, step: int }
  type Rank = {
    fence: int, step: int, map: int,
    promised: Set[Change], committed: Set[Change], decided: int
  }
  type Learned = { promised: Set[Change], committed: Set[Change], step: int }

  var ranks: int -> Rank
  // Replies that each coordinator has received, by fence and rank.
  var learned: int -> (int -> Set[Learned])
  var promises: int -> Set[int]
  // Decisions on a change: made once by its own coordinator, or by a recovery.
  var prepared: Set[Change]
  var commits: Set[{ by: int, change: Change }]
  var aborts: Set[{ by: int, change: Change }]

  pure val fresh: Rank = {
    fence: 0, step: 0, map: 0,
    promised: Set(), committed: Set(), decided: 0
  }

  action init = all {
    ranks' = RANKS.mapBy(r => fresh),
    learned' = FENCES.mapBy(f => RANKS.mapBy(r => Set())),
    promises' = FENCES.mapBy(f => Set()),
    prepared' = Set(),
    commits' = Set(),
    aborts' = Set(),
  }

  // A rank answers a learn of fence f, and refuses lower fences from then on.
  action learn(f: int, r: int): bool = {
    val rank = ranks.get(r)
    all {
      f >= rank.fence,
      ranks' = ranks.set(r, { ...rank, fence: f }),
      learned' = learned.set(f, learned.get(f).set(r, Set({
        promised: rank.promised, committed: rank.committed, step: rank.step
      }))),
      promises' = promises, prepared' = prepared,
      commits' = commits, aborts' = aborts,
    }
  }

  def allLearned(f: int): bool =
    RANKS.forall(r => learned.get(f).get(r) != Set())

  def told(f: int): Set[Learned] =
    RANKS.map(r => learned.get(f).get(r)).flatten()

  def inDoubt(f: int): Set[Change] =
    told(f).map(l => l.promised).flatten()

  def seenCommitted(f: int): Set[Change] =
    told(f).map(l => l.committed).flatten()

  // With replies from all ranks: commit what any rank saw committed, abort the rest.
  action close(f: int): bool = all {
    allLearned(f),
    inDoubt(f) != Set(),
    commits' = commits.union(inDoubt(f).filter(c => c.in(seenCommitted(f)))
      .map(c => { by: f, change: c })),
    aborts' = aborts.union(inDoubt(f).filter(c => not(c.in(seenCommitted(f))))
      .map(c => { by: f, change: c })),
    ranks' = ranks, learned' = learned,
    promises' = promises, prepared' = prepared,
  }

  // Nothing in doubt: prepare a change some steps ahead, once per fence.
  action prepare(f: int, lead: int): bool = {
    val last = told(f).map(l => l.step).fold(0, (a, b) => if (a > b) a else b)
    all {
      allLearned(f),
      inDoubt(f) == Set(),
      prepared.forall(c => c.fence != f),
      prepared' = prepared.union(Set({ fence: f, step: last + lead })),
      ranks' = ranks, learned' = learned, promises' = promises,
      commits' = commits, aborts' = aborts,
    }
  }

  action promise(c: Change, r: int): bool = {
    val rank = ranks.get(r)
    all {
      c.fence == rank.fence,
      c.step > rank.step,
      c.fence > rank.decided,
      rank.promised == Set(),
      // The last change must be in force before the next is promised.
      rank.committed.forall(old => old.step <= rank.step),
      ranks' = ranks.set(r, { ...rank, promised: Set(c) }),
      promises' = promises.set(c.fence, promises.get(c.fence).union(Set(r))),
      learned' = learned, prepared' = prepared,
      commits' = commits, aborts' = aborts,
    }
  }

  // Promises from all ranks; a coordinator decides its own change only once.
  action decide(c: Change): bool = all {
    aborts.forall(d => d.by != c.fence or d.change != c),
    commits.forall(d => d.by != c.fence or d.change != c),
    promises.get(c.fence) == RANKS,
    commits' = commits.union(Set({ by: c.fence, change: c })),
    aborts' = aborts, ranks' = ranks, learned' = learned,
    promises' = promises, prepared' = prepared,
  }

  action giveUp(c: Change): bool = all {
    commits.forall(d => d.by != c.fence or d.change != c),
    aborts' = aborts.union(Set({ by: c.fence, change: c })),
    commits' = commits, ranks' = ranks, learned' = learned,
    promises' = promises, prepared' = prepared,
  }

  action commit(by: int, c: Change, r: int): bool = {
    val rank = ranks.get(r)
    all {
      by >= rank.fence,
      c.in(rank.promised),
      ranks' = ranks.set(r, {
        ...rank, fence: by, promised: Set(), committed: Set(c), decided: c.fence
      }),
      learned' = learned, promises' = promises, prepared' = prepared,
      commits' = commits, aborts' = aborts,
    }
  }

  action abort(by: int, c: Change, r: int): bool = {
    val rank = ranks.get(r)
    all {
      by >= rank.fence,
      not(c.in(rank.committed)),
      ranks' = ranks.set(r, {
        ...rank, fence: by,
        promised: rank.promised.exclude(Set(c)),
        decided: if (c.fence > rank.decided) c.fence else rank.decided
      }),
      learned' = learned, promises' = promises, prepared' = prepared,
      commits' = commits, aborts' = aborts,
    }
  }

  // In lock-step no rank is more than one step ahead; a step gate holds a rank.
  action begin(r: int): bool = {
    val rank = ranks.get(r)
    val upcoming = rank.step + 1
    val due = rank.committed.filter(c => c.step <= upcoming)
    val newMap = due.fold(rank.map, (m, c) => c.fence)
    all {
      upcoming <= LAST_STEP,
      RANKS.forall(o => ranks.get(o).step >= rank.step),
      rank.promised.forall(c => c.step > upcoming),
      ranks' = ranks.set(r, { ...rank, step: upcoming, map: newMap }),
      learned' = learned, promises' = promises, prepared' = prepared,
      commits' = commits, aborts' = aborts,
    }
  }

  action step = {
    nondet f = FENCES.oneOf()
    nondet r = RANKS.oneOf()
    nondet lead = Set(1, 2).oneOf()
    any {
      learn(f, r),
      close(f),
      prepare(f, lead),
      begin(r),
      all { prepared != Set(), {
        nondet c = prepared.oneOf()
        any { promise(c, r), decide(c), giveUp(c) }
      } },
      all { commits != Set(), {
        nondet d = commits.oneOf()
        commit(d.by, d.change, r)
      } },
      all { aborts != Set(), {
        nondet d = aborts.oneOf()
        abort(d.by, d.change, r)
      } },
    }
  }

  // In every step, all ranks that are in it use one map.
  val oneMap = RANKS.forall(a => RANKS.forall(b =>
    ranks.get(a).step == ranks.get(b).step
      implies ranks.get(a).map == ranks.get(b).map))

  // No change is both put in force by one rank and aborted by another.
  val oneDecision = RANKS.forall(a => RANKS.forall(b =>
    ranks.get(a).committed.forall(c =>
      c.in(ranks.get(b).promised) or c.in(ranks.get(b).committed)
        or ranks.get(b).committed.exists(d => d.fence > c.fence))))

  val safe = oneMap and oneDecision
}
