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
const reportMs = 2_500;

/** Loads by target. */
export interface LoadView {
  /** A request goes to a target; the result takes it off again. */
  begin(target: string, unreadTokens: number): OpenLoad;
  /** Takes the loads that a peer told; they replace its earlier ones. */
  takeReport(peer: string, loads: ReadonlyMap<string, TargetLoad>): void;
  /** Load over all routers. */
  getLoad(target: string): TargetLoad;
  /** Loads of this router alone, for peers. */
  getOwn(): ReadonlyMap<string, TargetLoad>;
}

/** One request that counts as load. */
export interface OpenLoad {
  /** The target has begun to answer, so it has read the prompt. */
  noteRead(): void;
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
    takeReport: (peer, loads) =>
      void reports.set(peer, { at: performance.now(), loads }),
    getLoad,
    getOwn: () => own,
  };

  function begin(target: string, unreadTokens: number): OpenLoad {
    let unread = unreadTokens;
    let isOpen = true;
    add(target, { requests: 1, unreadTokens: unread });
    return { noteRead, end };

    function noteRead(): void {
      if (isOpen) add(target, { requests: 0, unreadTokens: -unread });
      unread = 0;
    }

    function end(): void {
      if (!isOpen) return;
      noteRead();
      isOpen = false;
      add(target, { requests: -1, unreadTokens: 0 });
    }
  }

  function add(target: string, change: TargetLoad): void {
    const held = own.get(target) ?? noLoad;
    const sum = addLoads(held, change);
    if (sum.requests === 0 && sum.unreadTokens === 0) own.delete(target);
    else own.set(target, sum);
  }

  function getLoad(target: string): TargetLoad {
    const oldest = performance.now() - reportMs;
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
