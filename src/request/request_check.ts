/** Turns what a caller sent into checked work, or names what is wrong. */

import { type Either, Left, Right } from "purify-ts";
import type { CallerRequest } from "../connection/caller_server.ts";
import type { BodyDigests } from "../process/attempts/body_digest.ts";
import type { Configuration, Service } from "../types/configuration.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { Work } from "../types/work.ts";
import { readChatBody } from "./chat_body.ts";
import { type CallerHeaders, readHeaders } from "./header_check.ts";

/** Path of chat requests. */
export const chatPath = "/v1/chat/completions";

/** First part of the path of service calls. */
const servicePrefix = "/services/";

/** Work that a plain call is taken for, in tokens. */
const plainCallTokens = 1;

/** Headers of a caller that are passed on to the target. */
const passedHeaders = [
  "content-type",
  "content-encoding",
  "accept",
  "accept-language",
  "authorization",
  "if-none-match",
];

/** What a check needs from outside. */
export interface CheckHost {
  readonly configuration: Configuration;
  readonly digests: BodyDigests;
}

/** Checks one request. */
export function checkRequest(
  host: CheckHost,
  request: CallerRequest,
): Either<Report, Work> {
  return readHeaders(request.headers).chain((headers) => {
    const path = request.path.split("?", 1)[0];
    return path === chatPath
      ? checkChat(host, { request, headers })
      : checkCall(host, { request, headers });
  });
}

interface CheckedHeaders {
  readonly request: CallerRequest;
  readonly headers: CallerHeaders;
}

function checkChat(
  host: CheckHost,
  { request, headers }: CheckedHeaders,
): Either<Report, Work> {
  return readChatBody(request.body).chain((chat) =>
    checkAccess(host, { headers, name: chat.model, kind: "model" })
      .map(() => ({
        ...createCommonWork(host, { request, headers, service: chat.model }),
        kind: "chat",
        conversation: headers.conversation,
        messageCount: chat.messageCount,
        repeatable: true,
        estimate: {
          promptTokens: chat.promptTokens,
          outputTokens: chat.maxOutputTokens,
          cachedTokens: chat.earlierTokens,
        },
        path: chatPath,
      }))
  );
}

function checkCall(
  host: CheckHost,
  { request, headers }: CheckedHeaders,
): Either<Report, Work> {
  const rest = request.path.slice(servicePrefix.length);
  const slash = rest.search(/[/?]/);
  const name = decodeName(slash < 0 ? rest : rest.slice(0, slash));
  const path = slash < 0 ? "/" : rest.slice(slash).replace(/^\?/, "/?");
  return checkAccess(host, { headers, name, kind: "plain" }).map((service) => ({
    ...createCommonWork(host, { request, headers, service: name }),
    kind: "call",
    conversation: "",
    messageCount: 0,
    repeatable: isRepeatable(service, { method: request.method, path }),
    estimate: {
      promptTokens: 0,
      outputTokens: plainCallTokens,
      cachedTokens: 0,
    },
    path,
  }));
}

/** Checks that the workspace may use the service. */
function checkAccess(
  { configuration }: CheckHost,
  options: {
    readonly headers: CallerHeaders;
    readonly name: string;
    readonly kind: Service["kind"];
  },
): Either<Report, Service> {
  const { workspace } = options.headers;
  const held = configuration.workspaces.get(workspace);
  if (held === undefined) {
    return Left(createReport("unknown_workspace", { workspace }));
  }
  const service = configuration.services.get(options.name);
  if (service?.kind !== options.kind) {
    return Left(createReport("unknown_service", { service: options.name }));
  }
  const isAllowed = held.services.length === 0 ||
    held.services.includes(options.name);
  return isAllowed ? Right(service) : Left(
    createReport("service_not_allowed", {
      workspace,
      service: options.name,
    }),
  );
}

/** True when the first route that fits says so. */
function isRepeatable(
  service: Service,
  call: { readonly method: string; readonly path: string },
): boolean {
  const route = service.routes.find((candidate) =>
    (candidate.method === "*" || candidate.method === call.method) &&
    call.path.startsWith(candidate.pathPrefix)
  );
  return route?.repeatable ?? false;
}

/** The fields that chats and calls have in common. */
function createCommonWork(
  host: CheckHost,
  { request, headers, service }: CheckedHeaders & { readonly service: string },
) {
  const digest = host.digests.create();
  digest.update(Buffer.from(`${service} ${request.method} ${request.path}\n`));
  digest.update(request.body);
  return {
    requestId: request.requestId,
    service,
    workspace: headers.workspace,
    priority: headers.priority,
    deadlineAt: Date.now() + headers.deadlineMs,
    idempotencyKey: headers.idempotencyKey,
    fingerprint: digest.getHex(),
    method: request.method,
    headers: passedHeaders.flatMap((name) => {
      const value = request.headers[name];
      return value === undefined ? [] : [{ name, value }];
    }),
    body: request.body,
    lastPlace: headers.lastPlace,
  };
}

/** Decodes the name of a service; a broken one is taken as it stands. */
function decodeName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
