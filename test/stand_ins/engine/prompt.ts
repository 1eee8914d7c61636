/** Messages of a chat and how the engine counts and names them. */

import { createHash } from "node:crypto";

/** One message of a chat. */
export interface Message {
  readonly role: string;
  readonly content: string;
}

/** One cached piece: a message after all the messages before it. */
export interface Block {
  /** Hash of this message and all before it. */
  readonly hash: string;
  readonly tokens: number;
}

/** Tokens that each message costs besides its text. */
const messageOverheadTokens = 4;

/** Letters of one token. */
const charactersPerToken = 4;

/** Counts the tokens of a message. */
export function countTokens(message: Message): number {
  return messageOverheadTokens +
    Math.ceil(message.content.length / charactersPerToken);
}

/** Splits a chat into blocks whose hashes name the whole prefix. */
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
