/** Parses the fields of a chat request's body that routing needs. */

import { type Either, Left, Right } from "purify-ts";
import { createReport, type Report } from "../types/diagnostics.ts";

/** Bytes of text per token, for estimates. */
const bytesPerToken = 4;

/** Estimated output of a request without an output limit, in tokens. */
const defaultOutputTokens = 256;

/** Maximum output that is counted as work, in tokens. */
const maxOutputTokens = 32_768;

/** What routing needs to know about a chat request. */
export interface ChatBody {
  /** Name of the service. */
  readonly model: string;
  readonly promptTokens: number;
  /** Estimated tokens of the body without its last message. */
  readonly earlierTokens: number;
  readonly maxOutputTokens: number;
  readonly messageCount: number;
}

type JsonObject = Readonly<Record<string, unknown>>;

/** Parses and checks a body and estimates its work. */
export function parseChatBody(body: Uint8Array): Either<Report, ChatBody> {
  return parseObject(body).chain((fields) => {
    const invalidField = checkFields(fields);
    if (invalidField !== undefined) return Left(invalidField);
    const messages = fields["messages"] as readonly unknown[];
    const promptTokens = estimateTokens(body.length);
    const lastTokens = estimateTokens(JSON.stringify(messages.at(-1)).length);
    return Right({
      model: fields["model"] as string,
      promptTokens,
      earlierTokens: Math.max(0, promptTokens - lastTokens),
      maxOutputTokens: getMaxOutputTokens(fields),
      messageCount: messages.length,
    });
  });
}

function parseObject(body: Uint8Array): Either<Report, JsonObject> {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(body);
    const value: unknown = JSON.parse(text);
    return isObject(value) ? Right(value) : reject("body", "an object");
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Left(createReport("bad_json", { reason }));
  }
}

/** Returns a report on the first invalid field; undefined without one. */
function checkFields(fields: JsonObject): Report | undefined {
  const { model, messages, stream } = fields;
  if (typeof model !== "string" || model === "") {
    return createFieldReport("model", "a service's name");
  }
  if (!Array.isArray(messages) || messages.length === 0) {
    return createFieldReport("messages", "a list of at least one message");
  }
  const invalidIndex = messages.findIndex((message) => !isMessage(message));
  if (invalidIndex >= 0) {
    return createFieldReport(
      `messages[${invalidIndex}]`,
      "an object with a role and content",
    );
  }
  if (stream !== undefined && typeof stream !== "boolean") {
    return createFieldReport("stream", "true or false");
  }
  return checkOutputLimit(fields);
}

function checkOutputLimit(fields: JsonObject): Report | undefined {
  for (const name of ["max_tokens", "max_completion_tokens"]) {
    const value = fields[name];
    if (value === undefined) continue;
    if (Number.isSafeInteger(value) && (value as number) > 0) continue;
    return createFieldReport(name, "a positive integer");
  }
  return undefined;
}

function isMessage(value: unknown): boolean {
  if (!isObject(value) || typeof value["role"] !== "string") return false;
  const content = value["content"];
  return typeof content === "string" || Array.isArray(content) ||
    (content === null && Array.isArray(value["tool_calls"]));
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function getMaxOutputTokens(fields: JsonObject): number {
  const limit = fields["max_completion_tokens"] ?? fields["max_tokens"];
  return typeof limit === "number"
    ? Math.min(limit, maxOutputTokens)
    : defaultOutputTokens;
}

function estimateTokens(bytes: number): number {
  return Math.ceil(bytes / bytesPerToken);
}

function createFieldReport(field: string, expected: string): Report {
  return createReport("bad_field", { field, expected });
}

function reject(field: string, expected: string): Either<Report, never> {
  return Left(createFieldReport(field, expected));
}
