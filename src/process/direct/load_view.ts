/**
 * Loads of targets over the whole fleet: what this router has in flight, and
 * what its peers told last. Peers that fall silent stop to count.
 */

/** Load of one target from one router. */
export interface TargetLoad {
  /** Requests that run or wait there. */
  readonly requests: number;
  /** Prompt tokens that were sent there and have not been read yet. */
  readonly unreadTokens: number;
}

/** Time that a peer's report counts, in milliseconds; several intervals. */
const reportTtlMs = 2_500;

/** Loads by target. */
export interface LoadView {
  /** A request goes to a target; the result takes it off again. */
  begin(target: string, unreadTokens: number): InFlightLoad;
  /** Takes the loads that a peer told; they replace its earlier ones. */
  recordReport(peer: string, loads: ReadonlyMap<string, TargetLoad>): void;
  /** Load over all routers. */
  getLoad(target: string): TargetLoad;
  /** Loads of this router alone, for peers. */
  getOwnLoads(): ReadonlyMap<string, TargetLoad>;
}

/** One request that counts as load. */
export interface InFlightLoad {
  /** The target has begun to answer, so it has read the prompt. */
  finishPrefill(): void;
  end(): void;
}

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
