/** Decides which news goes into the next datagrams. */

/** Importance of news: when bytes are short, later ones wait. */
export type UpdateUrgency = "leaving" | "patch" | "member" | "crash";

const urgencies: readonly UpdateUrgency[] = [
  "patch",
  "leaving",
  "member",
  "crash",
];

/** News that waits at one time from which on fewer rounds are sent. */
const congestedQueueSize = 32;

/** Rounds of news in a crowd. */
const congestedRounds = 2;

/** One piece of news. */
export interface GossipUpdate<Body> {
  /** News under the same key replaces older news. */
  readonly key: string;
  readonly body: Body;
  readonly urgency: UpdateUrgency;
  /** Bytes on the wire. */
  readonly bytes: number;
  /** How many more times receivers pass it on. */
  readonly hopsLeft: number;
}

/** News that waits to be sent a few times. */
export interface RumorQueue<Body> {
  /** Adds news; what has no hops left is not passed on. */
  enqueue(news: GossipUpdate<Body>): void;
  /**
   * Takes what fits into one round's datagram, the least sent first, and
   * counts it as sent once.
   */
  takeRound(maxBytes: number): readonly GossipUpdate<Body>[];
  getSize(): number;
  /** Bytes that wait for a first round. */
  hasUnsent(): boolean;
}

/** Creates an empty queue whose news goes out in `rounds` rounds. */
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

  /** Drops what was sent most often; the pull repairs what is lost. */
  function dropMostSent(): void {
    let mostSentKey: string | undefined;
    let maxSent = -1;
    for (const [key, { sent }] of queue) {
      if (sent <= maxSent) continue;
      maxSent = sent;
      mostSentKey = key;
    }
    if (mostSentKey !== undefined) queue.delete(mostSentKey);
  }

  function takeRound(maxBytes: number): readonly GossipUpdate<Body>[] {
    const taken: GossipUpdate<Body>[] = [];
    let bytesLeft = maxBytes;
    // In a crowd the pull repairs what fewer rounds miss.
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

/** Remembers keys of news that was seen, the latest `limit` of them. */
export function createSeenSet(limit: number): {
  /** Adds a key; false when it was already there. */
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
