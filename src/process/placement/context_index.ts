/**
 * Knows which chats' contexts a target should hold in its cache: the chats
 * that ran here last. It is a hint: a wrong one costs a cold start, no more.
 */

/** Chats that the index knows; the oldest goes first. */
const maxContexts = 8_192;

/** Hash of a chat that names no conversation; it never returns. */
const noConversation = 0;

/** Messages that one turn adds to a chat: an answer and a new question. */
const messagesPerTurn = 2;

/** One chat's turn at this target. */
export interface ContextTurn {
  /** Hash of the conversation's key, 0 for a chat without one. */
  readonly conversationHash: number;
  /** Messages of the request that ran here. */
  readonly messageCount: number;
}

/** The contexts that one target should hold. */
export interface ContextIndex {
  /** True when the turn before this one ran here. */
  isHeld(turn: ContextTurn): boolean;
  /** Notes a turn that has run here. */
  recordTurn(turn: ContextTurn): void;
  getSize(): number;
}

/** Creates an empty index. */
export function createContextIndex(): ContextIndex {
  const lastMessageCounts = new Map<number, number>();

  return {
    isHeld,
    recordTurn,
    getSize: () => lastMessageCounts.size,
  };

  function isHeld({ conversationHash, messageCount }: ContextTurn): boolean {
    const lastMessageCount = lastMessageCounts.get(conversationHash);
    return lastMessageCount !== undefined &&
      lastMessageCount + messagesPerTurn >= messageCount;
  }

  function recordTurn({ conversationHash, messageCount }: ContextTurn): void {
    if (conversationHash === noConversation) return;
    lastMessageCounts.delete(conversationHash);
    lastMessageCounts.set(conversationHash, messageCount);
    if (lastMessageCounts.size > maxContexts) evictOldest();
  }

  function evictOldest(): void {
    const oldest = lastMessageCounts.keys().next();
    if (!oldest.done) lastMessageCounts.delete(oldest.value);
  }
}
