/** Builds routers with planted faults, to show that the soak finds them. */

import { execFileSync } from "node:child_process";
import * as fs from "node:fs";
import { resolve } from "node:path";

/** A file of the sources, a text in it and what takes its place. */
type Edit = readonly [string, string, string];

const codecFile = "src/platform/target_codec.ts";
const clientFile = "src/connection/direct_client.ts";
const replicaFile = "src/process/direct/directory/directory_replica.ts";
const stopFile = "src/roles/direct_stop.ts";

/** Planted faults by name. */
const plants: Readonly<Record<string, readonly Edit[]>> = {
  /** Connections wait in the listen queue for as long as it is never empty. */
  listen_queue_unbounded: [[
    "src/process/admission/listen_queue.ts",
    "getStandingMs(backlog) > (isOverload() ? overload : burst)",
    "getStandingMs(backlog) > (isOverload() ? overload : burst) * Infinity",
  ]],
  /** A status below 100 reaches an assertion, which the runtime explains. */
  assertions_explained: [
    [
      "scripts/bundle_options.js",
      '  alias: { "node:assert": leanAssert, assert: leanAssert },\n',
      "",
    ],
    ["scripts/build_platform.js", "  lineLimit: maxLineLength,\n", ""],
    [
      "src/connection/http_pool.ts",
      "if (!isResponseStatus(status))",
      "if (status < 0)",
    ],
  ],
  /** The position after a listing is that of its newest entry. */
  newest_entry_position: [
    [
      replicaFile,
      "    advanceWithoutRemovals(revision);\n",
      "    entries.forEach((entry) => advance(entry.revision));\n",
    ],
    [
      replicaFile,
      "    removalsKnownAfter = position.revision;\n",
      "    position = { ...position, revision: Math.max(1, " +
      "...listing.entries.map((entry) => entry.revision)) };\n",
    ],
  ],
  /** A time in which nobody read the store counts as its outage. */
  lost_readers_outage: [[
    "src/process/direct/store/store_availability.ts",
    ": span.since - available.until >= minOutageMs && silentMs >= minSilenceMs;",
    ": span.since - available.until >= minOutageMs / 2;",
  ]],
  /** The end of a response counts, whatever becomes of its request. */
  upload_end_trusted: [[
    "src/connection/target_connector.ts",
    "if (getOpenRequestBytes() <= maxFirstBytes) handleEnd();",
    "if (getOpenRequestBytes() <= Infinity) handleEnd();",
  ]],
  /** Responses of many small pieces are read as fast as they come. */
  responses_unpaced: [[
    "src/process/admission/read_pace.ts",
    "if (allowance >= 0) return 0;",
    "if (allowance >= -Infinity) return 0;",
  ]],
  /** Interim responses and heads have no limit of their own. */
  heads_unlimited: [
    [
      "src/connection/response_limits.ts",
      "const maxInterimResponses = 64;",
      "const maxInterimResponses = Infinity;",
    ],
    [
      "src/connection/response_limits.ts",
      "const maxHeadBytes = 32 * 1024;",
      "const maxHeadBytes = Infinity;",
    ],
  ],
  /** All trailers of a piece are parsed, with an error for each. */
  trailers_parsed: [[
    "src/connection/response_limits.ts",
    "if (hasCode(error, headersOverflowCode)) throw error;",
    "",
  ]],
  /** Repeated events are read as fast as they come. */
  repeats_unpaced: [[
    "src/request/direct_response.ts",
    "pace.take(step.pieces)",
    "pace.take(step.data.length > 0 ? step.pieces : 0)",
  ]],
  /** A target's own 503 reaches the caller, though the target has run it. */
  refusal_passed_on: [[
    "src/request/direct_verdict.ts",
    "if (promisesNotRun(head.status)) {",
    "if (head.status !== 503 && promisesNotRun(head.status)) {",
  ]],
  /** A refusal without the request's id counts as proof. */
  nameless_proof: [[
    codecFile,
    "if (requestId === undefined) {",
    "if (requestId === undefined && " +
    "!headers.has(headerNames.notRun) && status !== wrongTargetStatus) {",
  ], [
    codecFile,
    "if (requestId !== call.requestId) {",
    "if (requestId !== undefined && requestId !== call.requestId) {",
  ]],
  /** A listing of a newer era does not replace the copy of an older one. */
  listing_without_era: [[
    "src/process/direct/directory/directory_replica.ts",
    "    if (era > position.era) return replaceAll(listing);\n",
    "    position = { ...position, era };\n",
  ]],
  /** An update of its entry makes a router forget that a target leaves. */
  leave_forgotten: [[
    "src/process/direct/targets/target_table.ts",
    "    readyByService.clear();\n    return previous",
    "    leavesById.delete(target.id);\n    readyByService.clear();\n" +
    "    return previous",
  ]],
  /** Leaves and evacuations wait for large responses. */
  urgent_reads_missing: [[
    "src/process/direct/directory/urgent_reads.ts",
    "    urgentKinds.forEach((kind) => void follow(kind));\n",
    "    void follow;\n",
  ]],
  /** An evacuation is read and not obeyed. */
  evacuation_ignored: [[
    "src/process/direct/targets/zone_evacuations.ts",
    "    evacuated.add(zone);\n",
    "",
  ]],
  /** A target whose entry says that it drains counts as ready. */
  draining_ignored: [[
    "src/platform/store_records.ts",
    '["draining", "draining"],',
    '["draining", "ready"],',
  ]],
  /** A stop cuts off what runs after 0.05 of the grace period. */
  stop_cuts_off: [
    [stopFile, "graceMs * drainGraceShare", "graceMs * 0.05"],
    [stopFile, "graceMs * servingGraceShare", "graceMs * 0.03"],
  ],
  /** Limits of targets are not read. */
  limit_ignored: [[
    codecFile,
    "  const limit = decodeLimit(headers.get(headerNames.rateLimit));\n",
    '  const limit = { kind: "none" } as const;\n',
  ]],
  /** Each router takes the whole rate of a target. */
  limit_of_each_router: [[
    "src/process/direct/limits/limit_schedule.ts",
    "periodMs: slotMs * count",
    "periodMs: slotMs",
  ]],
  /** A stream goes on at any version, inside one answer and when taken up. */
  versions_ignored: [[
    "src/request/direct_stream_version.ts",
    "    return version !== unknownVersion && getVersion(target)",
    "    return true || getVersion(target)",
  ]],
  /** No router is told of a stream, or answers what it knows. */
  streams_untold: [[
    "src/process/direct/streams/stream_origins.ts",
    "    getKeepers(key).forEach((peer) => host.send(peer, message));\n",
    "    void message;\n",
  ], [
    "src/process/direct/streams/stream_origins.ts",
    "version: records.tryGet(key) ?? unknownVersion",
    "version: unknownVersion",
  ]],
  /** A restarted router takes one of several named versions for the only one. */
  version_guessed: [[
    "src/process/direct/streams/version_records.ts",
    "possible.size === 1 && only",
    "possible.size > 0 && only",
  ]],
  /** A silent attempt is given up though no other target may take the request. */
  silent_given_up: [[
    "src/request/direct_handover.ts",
    "    if (isHeld && lastingObstacles.has(reservation)) return;\n",
    "    if (isHeld) return current.attempt.giveUp();\n",
  ]],
  /** No crash is put down to a request that was in flight. */
  crashes_ignored: [[
    "src/process/direct/crashes/crash_keys.ts",
    "    ...getRequestKeys(getFingerprints(request), label),\n",
    "",
  ]],
  /** A request that comes with another prompt is another request. */
  variants_apart: [[
    "src/process/direct/crashes/crash_keys.ts",
    ".update(JSON.stringify([holder?.workspace, method, path]))",
    ".update(JSON.stringify([holder?.workspace, method, path, " +
    "(arguments[0] as CrashCandidate).prompt?.parts]))",
  ]],
  /** Numbers from outside are used as they are, and errors end the digests. */
  numbers_unjudged: [
    [
      "src/types/stated_numbers.ts",
      "value > 0 ? Math.min(maxTokens, Math.ceil(value)) : 0",
      "value",
    ],
    [
      "src/process/direct/peers/digest_reports.ts",
      "unreadTokens: limitCount(load.unreadTokens)",
      "unreadTokens: Math.max(0, Math.round(load.unreadTokens))",
    ],
    [
      "src/process/telemetry/tolerant_encoding.ts",
      "const bytes = tryEncode(codec, message);",
      "const bytes = codec.encode(message).finish();",
    ],
    [
      "src/roles/digest_exchange.ts",
      "() => faults.guard(settings.id, tick)",
      "tick",
    ],
  ],
  /** Calls are sent on connections that were open in a cut. */
  lost_connections_kept: [[
    "src/connection/renewed_pool.ts",
    "if (options.signal.aborted && pool === current) renew();",
    "if (false) renew();",
  ]],
  /** A call that began in a cut is waited for. */
  cut_call_awaited: [
    [
      "src/process/direct/directory/store_probes.ts",
      "if (!host.isNeeded()) return;",
      "if (host.isNeeded()) return;",
    ],
    [
      "src/process/direct/directory/directory_sync.ts",
      "if (hasTurn && wasSilent()) applyUrgent(await tryReach());",
      "if (false) applyUrgent(await tryReach());",
    ],
  ],
  /** No crash is put down to a part of a prompt. */
  parts_ignored: [[
    "src/process/direct/crashes/crash_keys.ts",
    "    ...getPartKeys(request),\n",
    "",
  ]],
  /** A response does not withdraw what counts for its parts. */
  responses_ignored: [[
    "src/process/direct/crashes/quarantine.ts",
    "if (!table.clear(key.id)) continue;",
    "continue;",
  ]],
  /** Each 421 counts as proof, also from a target that has run the request. */
  unstated_421_proof: [[
    codecFile,
    "  if (headers.has(headerNames.notRun)) {\n",
    '  if (status === wrongTargetStatus) return { kind: "wrong_target", ' +
    "status };\n  if (headers.has(headerNames.notRun)) {\n",
  ]],
  /** The call to a silent target goes on while another target has the request. */
  silent_call_kept: [
    [clientFile, "        signal: call.signal,\n", ""],
    [
      clientFile,
      "const data = await dispatch(call);",
      "const data = await Promise.race([dispatch(call), " +
      "new Promise<never>((_, reject) => " +
      'call.signal.addEventListener("abort", () => reject(new Error())))]);',
    ],
  ],
  /** Requests on new connections are sent to targets in a pause. */
  pause_of_one_path: [
    [
      "src/request/direct_choice.ts",
      "host.pauses.getUsable(ready)",
      "[...ready]",
    ],
    [
      "src/connection/target_pools.ts",
      "{ ...poolOptions, isFresh: true }",
      "{ ...poolOptions, checks: [], isFresh: true }",
    ],
  ],
};

/** Returns the names of the plants whose edits no longer fit the sources. */
export function getStalePlants(): readonly string[] {
  return Object.keys(plants).filter((name) =>
    plants[name]?.some(([file, text]) =>
      !fs.existsSync(file) || !fs.readFileSync(file, "utf8").includes(text)
    )
  );
}

/** Builds a router with a planted fault and returns its program. */
export function preparePlant(name: string): string {
  const edits = plants[name];
  if (edits === undefined) {
    throw new Error(`No such plant: ${name}; plants: ${Object.keys(plants)}`);
  }
  const directory = resolve(`dist/soak/plants/${name}`);
  fs.rmSync(directory, { recursive: true, force: true });
  fs.cpSync("src", `${directory}/src`, { recursive: true });
  fs.cpSync("scripts", `${directory}/scripts`, { recursive: true });
  fs.writeFileSync(`${directory}/package.json`, '{ "type": "module" }');
  fs.symlinkSync(resolve("node_modules"), `${directory}/node_modules`);
  for (const [file, text, replacement] of edits) {
    const path = `${directory}/${file}`;
    const source = fs.readFileSync(path, "utf8");
    if (!source.includes(text)) throw new Error(`${file} lacks ${text}`);
    fs.writeFileSync(path, source.replace(text, () => replacement));
  }
  const build = ["scripts/build_platform.js"];
  execFileSync(process.execPath, build, { cwd: directory, stdio: "inherit" });
  return `${directory}/target/mimosatray.cjs`;
}
