import { createContextIndex } from "./context_index.ts";

describe("context index", () => {
  const chat = 17;

  it("holds a chat whose last turn ran here", () => {
    const index = createContextIndex();
    expect(index.isHeld({ conversationHash: chat, messageCount: 3 }))
      .toBe(false);
    index.recordTurn({ conversationHash: chat, messageCount: 1 });
    expect(index.isHeld({ conversationHash: chat, messageCount: 3 }))
      .toBe(true);
  });

  it("does not hold a chat that has had a turn elsewhere since", () => {
    const index = createContextIndex();
    index.recordTurn({ conversationHash: chat, messageCount: 1 });
    expect(index.isHeld({ conversationHash: chat, messageCount: 5 }))
      .toBe(false);
  });

  it("ignores a chat without a conversation key", () => {
    const index = createContextIndex();
    index.recordTurn({ conversationHash: 0, messageCount: 1 });
    expect(index.getSize()).toBe(0);
    expect(index.isHeld({ conversationHash: 0, messageCount: 3 })).toBe(false);
  });

  it("stays bounded and evicts the chat that ran least recently", () => {
    const index = createContextIndex();
    for (let hash = 1; hash <= 10_000; hash++) {
      index.recordTurn({ conversationHash: hash, messageCount: 1 });
    }
    expect(index.getSize()).toBe(8_192);
    expect(index.isHeld({ conversationHash: 1, messageCount: 3 }))
      .toBe(false);
    expect(index.isHeld({ conversationHash: 9_999, messageCount: 3 }))
      .toBe(true);
  });
});
