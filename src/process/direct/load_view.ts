/**
 * Estimates the loads of targets over the whole fleet: what this router has in
 * flight plus the last reports of its peers. Reports of unresponsive peers
 * expire.
 */

/** Load of one target, from one router or from all. */
export interface TargetLoad {
  /** Requests that run or wait at the target. */
  readonly requests: number;
  /** Prefill backlog: prompt tokens that were sent but not prefilled yet. */
  readonly unreadTokens: number;
}

/** Time for which a peer's report is used, in ms; several report intervals. */
const reportTtlMs = 2_500;

/** Loads of targets, as far as this router knows them. */
export interface LoadView {
  /** Adds the load of a request to a target; the result removes it again. */
  begin(target: string, unreadTokens: number): InFlightLoad;
  /** Records a peer's report, which replaces the previous one. */
  recordReport(peer: string, loads: ReadonlyMap<string, TargetLoad>): void;
  /** Returns the load of a target from all routers. */
  getLoad(target: string): TargetLoad;
  /** Returns the loads from this router alone, as reported to peers. */
  getOwnLoads(): ReadonlyMap<string, TargetLoad>;
}

/** The load of one request in flight. */
export interface InFlightLoad {
  /** Removes the prefill backlog: the target has begun to respond. */
  finishPrefill(): void;
  /** Removes the load of the request. */
  end(): void;
}

/** The last report of one peer. */
interface Report {
  readonly at: number;
  readonly loads: ReadonlyMap<string, TargetLoad>;
}

const noLoad: TargetLoad = { requests: 0, unreadTokens: 0 };

/** Creates a view without any load. */
export function createLoadView(): LoadView {
  const own = new Map<string, TargetLoad>();
  const reports = new Map<string, Report>();

  return {
    begin,
    recordReport: (peer, loads) =>
      void reports.set(peer, { at: performance.now(), loads }),
    getLoad,
    getOwnLoads: () => own,
  };

  function begin(target: string, unreadTokens: number): InFlightLoad {
    let unread = unreadTokens;
    let isOpen = true;
    add(target, { requests: 1, unreadTokens: unread });
    return { finishPrefill, end };

    function finishPrefill(): void {
      if (isOpen) add(target, { requests: 0, unreadTokens: -unread });
      unread = 0;
    }

    function end(): void {
      if (!isOpen) return;
      finishPrefill();
      isOpen = false;
      add(target, { requests: -1, unreadTokens: 0 });
    }
  }

  function add(target: string, change: TargetLoad): void {
    const current = own.get(target) ?? noLoad;
    const sum = addLoads(current, change);
    if (sum.requests === 0 && sum.unreadTokens === 0) own.delete(target);
    else own.set(target, sum);
  }

  function getLoad(target: string): TargetLoad {
    const oldest = performance.now() - reportTtlMs;
    let sum = own.get(target) ?? noLoad;
    for (const [peer, report] of reports) {
      if (report.at < oldest) reports.delete(peer);
      else sum = addLoads(sum, report.loads.get(target) ?? noLoad);
    }
    return sum;
  }
}

function addLoads(left: TargetLoad, right: TargetLoad): TargetLoad {
  return {
    requests: left.requests + right.requests,
    unreadTokens: left.unreadTokens + right.unreadTokens,
  };
}
