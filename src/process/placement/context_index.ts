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
  noteHeld(turn: ContextTurn): void;
  getSize(): number;
}

/** Creates an empty index. */
export function createContextIndex(): ContextIndex {
  const messageCounts = new Map<number, number>();

  return {
    isHeld,
    noteHeld,
    getSize: () => messageCounts.size,
  };

  function isHeld({ conversationHash, messageCount }: ContextTurn): boolean {
    const held = messageCounts.get(conversationHash);
    return held !== undefined && held + messagesPerTurn >= messageCount;
  }

  function noteHeld({ conversationHash, messageCount }: ContextTurn): void {
    if (conversationHash === noConversation) return;
    messageCounts.delete(conversationHash);
    messageCounts.set(conversationHash, messageCount);
    if (messageCounts.size > maxContexts) forgetOldest();
  }

  function forgetOldest(): void {
    const oldest = messageCounts.keys().next();
    if (!oldest.done) messageCounts.delete(oldest.value);
  }
}
