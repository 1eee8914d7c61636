/**
 * Estimates the loads of targets over the whole fleet: what this router has in
 * flight plus the last reports of its peers. Reports of unresponsive peers
 * expire.
 *
 * Load pattern: each request asks for the load of each target, in a fleet of
 * hundreds of routers that report several times a second. The reports are summed
 * when they arrive, so that a request does not add up those of all peers.
 */

import { limitTokens } from "../../../types/stated_numbers.ts";

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
  /** Reports by peer, the oldest first. */
  const reports = new Map<string, Report>();
  /** Sums of the reports by target. */
  const peerLoads = new Map<string, TargetLoad>();

  return {
    begin,
    recordReport,
    getLoad,
    getOwnLoads: () => own,
  };

  function begin(target: string, unreadTokens: number): InFlightLoad {
    // What is added must leave no remainder when it is taken away.
    let unread = limitTokens(unreadTokens);
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
    addTo(own, target, change);
  }

  function recordReport(
    peer: string,
    loads: ReadonlyMap<string, TargetLoad>,
  ): void {
    removeReport(peer);
    reports.set(peer, { at: performance.now(), loads });
    loads.forEach((load, target) => addTo(peerLoads, target, load));
  }

  function removeReport(peer: string): void {
    const report = reports.get(peer);
    if (report === undefined) return;
    reports.delete(peer);
    report.loads.forEach(({ requests, unreadTokens }, target) =>
      addTo(peerLoads, target, {
        requests: -requests,
        unreadTokens: -unreadTokens,
      })
    );
  }

  function removeExpiredReports(): void {
    const oldest = performance.now() - reportTtlMs;
    for (const [peer, { at }] of reports) {
      if (at >= oldest) return;
      removeReport(peer);
    }
  }

  function getLoad(target: string): TargetLoad {
    removeExpiredReports();
    return addLoads(
      own.get(target) ?? noLoad,
      peerLoads.get(target) ?? noLoad,
    );
  }
}

function addTo(
  loads: Map<string, TargetLoad>,
  target: string,
  change: TargetLoad,
): void {
  const sum = addLoads(loads.get(target) ?? noLoad, change);
  if (sum.requests === 0 && sum.unreadTokens === 0) loads.delete(target);
  else loads.set(target, sum);
}

function addLoads(left: TargetLoad, right: TargetLoad): TargetLoad {
  return {
    requests: left.requests + right.requests,
    unreadTokens: left.unreadTokens + right.unreadTokens,
  };
}
