/** Decides which news goes into the next datagrams. */

/** Importance of news: when bytes are short, later ones wait. */
export type RumorUrgency = "leaving" | "patch" | "member" | "crash";

const urgencies: readonly RumorUrgency[] = [
  "patch",
  "leaving",
  "member",
  "crash",
];

/** News that waits at one time from which on fewer rounds are sent. */
const crowdSize = 32;

/** Rounds of news in a crowd. */
const crowdRounds = 2;

/** One piece of news. */
export interface News<Body> {
  /** News under the same key replaces older news. */
  readonly key: string;
  readonly body: Body;
  readonly urgency: RumorUrgency;
  /** Bytes on the wire. */
  readonly bytes: number;
  /** How many more times receivers pass it on. */
  readonly hopsLeft: number;
}

/** News that waits to be sent a few times. */
export interface RumorQueue<Body> {
  /** Adds news; what has no hops left is not passed on. */
  offer(news: News<Body>): void;
  /**
   * Takes what fits into one round's datagram, the least sent first, and
   * counts it as sent once.
   */
  takeRound(maxBytes: number): readonly News<Body>[];
  getSize(): number;
  /** Bytes that wait for a first round. */
  hasFresh(): boolean;
}

/** Creates an empty queue whose news goes out in `rounds` rounds. */
export function createRumorQueue<Body>(
  options: { readonly rounds: number; readonly maxNews: number },
): RumorQueue<Body> {
  const queue = new Map<string, { news: News<Body>; sent: number }>();

  return {
    offer,
    takeRound,
    getSize: () => queue.size,
    hasFresh: () => {
      for (const { sent } of queue.values()) if (sent === 0) return true;
      return false;
    },
  };

  function offer(news: News<Body>): void {
    queue.delete(news.key);
    if (news.hopsLeft <= 0) return;
    if (queue.size >= options.maxNews) dropLeastUseful();
    queue.set(news.key, { news, sent: 0 });
  }

  /** Drops what was sent most often; the pull repairs what is lost. */
  function dropLeastUseful(): void {
    let worst: string | undefined;
    let most = -1;
    for (const [key, { sent }] of queue) {
      if (sent <= most) continue;
      most = sent;
      worst = key;
    }
    if (worst !== undefined) queue.delete(worst);
  }

  function takeRound(maxBytes: number): readonly News<Body>[] {
    const taken: News<Body>[] = [];
    let bytesLeft = maxBytes;
    // In a crowd the pull repairs what fewer rounds miss.
    const rounds = queue.size > crowdSize
      ? Math.min(crowdRounds, options.rounds)
      : options.rounds;
    for (const entry of [...queue.values()].sort(compareEntries)) {
      if (entry.news.bytes > bytesLeft) continue;
      bytesLeft -= entry.news.bytes;
      taken.push(entry.news);
      entry.sent++;
      if (entry.sent >= rounds) queue.delete(entry.news.key);
    }
    return taken;
  }
}

interface QueueEntry {
  readonly news: { readonly urgency: RumorUrgency };
  readonly sent: number;
}

function compareEntries(left: QueueEntry, right: QueueEntry): number {
  return left.sent - right.sent ||
    urgencies.indexOf(left.news.urgency) -
      urgencies.indexOf(right.news.urgency);
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
