/** Splits chats into the blocks that the prefix cache stores. */

import { createHash } from "node:crypto";

/** One message of a chat. */
export interface Message {
  readonly role: string;
  readonly content: string;
}

/** The unit of the prefix cache: a message in the context of all before it. */
export interface Block {
  /** Hash of this message and all messages before it. */
  readonly hash: string;
  /** Tokens of this message alone. */
  readonly tokens: number;
}

/** Tokens of a message in addition to those of its text. */
const messageOverheadTokens = 4;

/** Characters of text in one token. */
const charactersPerToken = 4;

/** Counts the tokens of a message. */
export function countTokens(message: Message): number {
  return messageOverheadTokens +
    Math.ceil(message.content.length / charactersPerToken);
}

/** Splits a chat into blocks; each hash covers the whole prefix. */
export function getBlocks(messages: readonly Message[]): readonly Block[] {
  let parentHash = "";
  return messages.map((message) => {
    parentHash = createHash("sha256")
      .update(JSON.stringify([parentHash, message.role, message.content]))
      .digest("hex")
      .slice(0, 16);
    return { hash: parentHash, tokens: countTokens(message) };
  });
}
