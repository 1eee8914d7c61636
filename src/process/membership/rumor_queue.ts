/**
 * Decides which updates the next gossip datagrams carry. In a burst of updates
 * each one is sent in fewer rounds.
 */

/** Urgency of an update; orders updates that were sent equally often. */
export type UpdateUrgency = "leaving" | "patch" | "member" | "crash";

/** Urgencies, highest first; what does not fit a datagram is sent later. */
const urgencies: readonly UpdateUrgency[] = [
  "patch",
  "leaving",
  "member",
  "crash",
];

/** Queue size above which each update is sent in fewer rounds. */
const congestedQueueSize = 32;

/** Rounds in which an update is sent while the queue is congested. */
const congestedRounds = 2;

/** One update to be gossiped. */
export interface GossipUpdate<Body> {
  /** Identity of the update; a later one with the same key replaces it. */
  readonly key: string;
  readonly body: Body;
  readonly urgency: UpdateUrgency;
  /** Encoded size of the update in a datagram, in bytes. */
  readonly bytes: number;
  /** Number of further times that receivers forward it. */
  readonly hopsLeft: number;
}

/** A bounded queue of updates, each of which is sent in a few rounds. */
export interface RumorQueue<Body> {
  /** Adds an update; one without hops left is dropped. */
  enqueue(update: GossipUpdate<Body>): void;
  /**
   * Returns the updates that fit into one round's datagram, the least sent
   * first, and counts each as sent once more.
   */
  takeRound(maxBytes: number): readonly GossipUpdate<Body>[];
  getSize(): number;
  /** Returns true when an update has not been sent yet. */
  hasUnsent(): boolean;
}

/** Creates an empty queue that sends each update in `rounds` rounds. */
export function createRumorQueue<Body>(
  options: { readonly rounds: number; readonly maxUpdates: number },
): RumorQueue<Body> {
  const queue = new Map<string, { update: GossipUpdate<Body>; sent: number }>();

  return {
    enqueue,
    takeRound,
    getSize: () => queue.size,
    hasUnsent: () => {
      for (const { sent } of queue.values()) if (sent === 0) return true;
      return false;
    },
  };

  function enqueue(update: GossipUpdate<Body>): void {
    queue.delete(update.key);
    if (update.hopsLeft <= 0) return;
    if (queue.size >= options.maxUpdates) dropMostSent();
    queue.set(update.key, { update, sent: 0 });
  }

  /** Drops the most sent update; anti-entropy pulls repair the loss. */
  function dropMostSent(): void {
    let maxSentKey: string | undefined;
    let maxSent = -1;
    for (const [key, { sent }] of queue) {
      if (sent <= maxSent) continue;
      maxSent = sent;
      maxSentKey = key;
    }
    if (maxSentKey !== undefined) queue.delete(maxSentKey);
  }

  function takeRound(maxBytes: number): readonly GossipUpdate<Body>[] {
    const taken: GossipUpdate<Body>[] = [];
    let bytesLeft = maxBytes;
    // Anti-entropy pulls repair what the fewer rounds miss.
    const rounds = queue.size > congestedQueueSize
      ? Math.min(congestedRounds, options.rounds)
      : options.rounds;
    for (const entry of [...queue.values()].sort(compareEntries)) {
      if (entry.update.bytes > bytesLeft) continue;
      bytesLeft -= entry.update.bytes;
      taken.push(entry.update);
      entry.sent++;
      if (entry.sent >= rounds) queue.delete(entry.update.key);
    }
    return taken;
  }
}

interface QueueEntry {
  readonly update: { readonly urgency: UpdateUrgency };
  readonly sent: number;
}

function compareEntries(left: QueueEntry, right: QueueEntry): number {
  return left.sent - right.sent ||
    urgencies.indexOf(left.update.urgency) -
      urgencies.indexOf(right.update.urgency);
}

/** Creates a set of seen keys that keeps the latest `limit` of them. */
export function createSeenSet(limit: number): {
  /** Adds a key; returns false when it is already in the set. */
  add(key: string): boolean;
} {
  const seen = new Set<string>();
  return { add };

  function add(key: string): boolean {
    if (seen.has(key)) return false;
    seen.add(key);
    if (seen.size > limit) {
      const [oldest] = seen;
      if (oldest !== undefined) seen.delete(oldest);
    }
    return true;
  }
}
