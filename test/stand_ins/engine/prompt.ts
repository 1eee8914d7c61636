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
const tokensPerMessage = 4;

/** Letters of one token. */
const lettersPerToken = 4;

/** Counts the tokens of a message. */
export function countTokens(message: Message): number {
  return tokensPerMessage + Math.ceil(message.content.length / lettersPerToken);
}

/** Splits a chat into blocks whose hashes name the whole prefix. */
export function getBlocks(messages: readonly Message[]): readonly Block[] {
  let parent = "";
  return messages.map((message) => {
    parent = createHash("sha256")
      .update(JSON.stringify([parent, message.role, message.content]))
      .digest("hex")
      .slice(0, 16);
    return { hash: parent, tokens: countTokens(message) };
  });
}
