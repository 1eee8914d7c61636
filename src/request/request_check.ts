/** Validates a caller's request and converts it to work. */

import { type Either, Left, Right } from "purify-ts";
import type { CallerRequest } from "../connection/caller_server.ts";
import type { BodyDigests } from "../process/attempts/body_digest.ts";
import type { Configuration, Service } from "../types/configuration.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { Work } from "../types/work.ts";
import { parseChatBody } from "./chat_body.ts";
import { type CallerHeaders, parseHeaders } from "./header_check.ts";

/** Path of chat requests. */
export const chatPath = "/v1/chat/completions";

/** Path prefix of service calls. */
const servicePrefix = "/services/";

/** Estimated work of a plain call, in output tokens. */
const plainCallOutputTokens = 1;

/** Headers of the caller that are forwarded to the target. */
const forwardedHeaders = [
  "content-type",
  "content-encoding",
  "accept",
  "accept-language",
  "authorization",
  "if-none-match",
];

/** What a check needs from the process. */
export interface CheckHost {
  readonly configuration: Configuration;
  readonly digests: BodyDigests;
}

/** Checks one request; returns its work, or a report on what is invalid. */
export function checkRequest(
  host: CheckHost,
  request: CallerRequest,
): Either<Report, Work> {
  return parseHeaders(request.headers).chain((headers) => {
    const path = request.path.split("?", 1)[0];
    return path === chatPath
      ? checkChat(host, { request, headers })
      : checkCall(host, { request, headers });
  });
}

/** A request with its checked headers. */
interface CheckedHeaders {
  readonly request: CallerRequest;
  readonly headers: CallerHeaders;
}

function checkChat(
  host: CheckHost,
  { request, headers }: CheckedHeaders,
): Either<Report, Work> {
  return parseChatBody(request.body).chain((chat) =>
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
  const serviceAndPath = request.path.slice(servicePrefix.length);
  const slash = serviceAndPath.search(/[/?]/);
  const name = decodeName(
    slash < 0 ? serviceAndPath : serviceAndPath.slice(0, slash),
  );
  const path = slash < 0
    ? "/"
    : serviceAndPath.slice(slash).replace(/^\?/, "/?");
  return checkAccess(host, { headers, name, kind: "plain" }).map((service) => ({
    ...createCommonWork(host, { request, headers, service: name }),
    kind: "call",
    conversation: "",
    messageCount: 0,
    repeatable: isRetryable(service, { method: request.method, path }),
    estimate: {
      promptTokens: 0,
      outputTokens: plainCallOutputTokens,
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
  const workspaceSettings = configuration.workspaces.get(workspace);
  if (workspaceSettings === undefined) {
    return Left(createReport("unknown_workspace", { workspace }));
  }
  const service = configuration.services.get(options.name);
  if (service?.kind !== options.kind) {
    return Left(createReport("unknown_service", { service: options.name }));
  }
  const isAllowed = workspaceSettings.services.length === 0 ||
    workspaceSettings.services.includes(options.name);
  return isAllowed ? Right(service) : Left(
    createReport("service_not_allowed", {
      workspace,
      service: options.name,
    }),
  );
}

/** Returns whether the first matching route allows retries. */
function isRetryable(
  service: Service,
  call: { readonly method: string; readonly path: string },
): boolean {
  const route = service.routes.find((candidate) =>
    (candidate.method === "*" || candidate.method === call.method) &&
    call.path.startsWith(candidate.pathPrefix)
  );
  return route?.repeatable ?? false;
}

/** Creates the fields that chats and calls have in common. */
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
    // The time that the request has waited so far counts.
    deadlineAt: Date.now() + headers.deadlineMs -
      (performance.now() - request.arrivedAt),
    idempotencyKey: headers.idempotencyKey,
    fingerprint: digest.getHex(),
    method: request.method,
    headers: forwardedHeaders.flatMap((name) => {
      const value = request.headers[name];
      return value === undefined ? [] : [{ name, value }];
    }),
    body: request.body,
    hintedTargetId: headers.hintedTargetId,
  };
}

/** Decodes the name of a service; returns an invalid encoding unchanged. */
function decodeName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
