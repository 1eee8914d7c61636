/**
 * Decides whether a target is expected to hold the context of a returning chat
 * in its cache: it is if the chat's previous turn ran there. The result is only
 * a hint; a wrong one costs a prefill without a cached prefix.
 */

/** Capacity of the index; the chat that ran least recently is evicted. */
const maxContexts = 8_192;

/** Hash of a chat without a conversation key, which is never recorded. */
const noConversation = 0;

/** Messages that one turn adds: the model's answer and the next question. */
const messagesPerTurn = 2;

/** One turn of a chat at this target. */
export interface ContextTurn {
  /** Hash of the conversation's key, 0 for a chat without one. */
  readonly conversationHash: number;
  /** Number of messages in the turn's request. */
  readonly messageCount: number;
}

/** The contexts that one target is expected to hold. */
export interface ContextIndex {
  /** Returns true when the turn before this one ran here. */
  isHeld(turn: ContextTurn): boolean;
  /** Records a turn that has run here. */
  recordTurn(turn: ContextTurn): void;
  /** Returns the number of chats in the index. */
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
