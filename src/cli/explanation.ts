/** Selects and formats the log lines that concern one request. */

/** A decoded log line. */
type Line = Readonly<Record<string, unknown>>;

/** Fields that are printed separately or left out. */
const omittedFields = new Set([
  "time",
  "level",
  "message",
  "process",
  "request",
]);

/**
 * Time before and after the request in which lines about its targets are shown,
 * in ms; wide enough for clocks that differ by some seconds between processes.
 */
const relatedWindowMs = 10_000;

/** Returns lines of text; empty when the logs do not contain the request. */
export function explainRequest(
  logs: string,
  requestId: string,
): readonly string[] {
  const lines = logs.split("\n").flatMap(parseLine);
  const requestLines = lines.filter(isOfRequest);
  if (requestLines.length === 0) return [];
  const targets = new Set(requestLines.flatMap(getTargets));
  const quarantinedKeys = new Set(
    requestLines.map(({ quarantined }) => quarantined).filter((key) =>
      key !== undefined
    ),
  );
  const processes = new Set(requestLines.map((line) => line["process"]));
  const times = requestLines.map(getTime);
  const from = Math.min(...times) - relatedWindowMs;
  const to = Math.max(...times) + relatedWindowMs;
  // Clocks differ between processes, so lines are grouped by process.
  return [...processes].flatMap((process) => [
    `${String(process)}:`,
    ...lines.filter((line) =>
      line["process"] === process && getTime(line) >= from &&
      getTime(line) <= to && isRelated(line)
    ).map(formatLine),
  ]);

  /** Returns true for lines of the request, or of one that takes its stream up. */
  function isOfRequest({ request, resumes }: Line): boolean {
    return request === requestId || resumes === requestId;
  }

  /**
   * Returns true for lines of the request, and for lines without a request that
   * concern one of its targets, what it was quarantined for, or the whole router.
   */
  function isRelated(line: Line): boolean {
    const { request, target, quarantined, message } = line;
    if (request !== undefined) return isOfRequest(line);
    if (quarantined !== undefined) return quarantinedKeys.has(quarantined);
    return target === undefined
      ? generalMessages.has(message)
      : targets.has(target);
  }
}

/** Messages without a request or target that can explain any request. */
const generalMessages: ReadonlySet<unknown> = new Set([
  "Configuration is in force",
  "Directory was pulled from a peer",
  "Era of the store cannot be used",
  "Evacuation of a zone has ended",
  "Log lines were left out",
  "Older configuration was ignored",
  "Peer gave no copy of the directory",
  "Requests begin to wait for room",
  "Requests no longer wait for room",
  "Router is ready",
  "Router starts",
  "Router stops",
  "Store call failed",
  "Store is reached",
  "Store returned from an older copy",
  "Zone is evacuated",
]);

/** Returns the target of a line, and the limited ones that it names. */
function getTargets({ target, limited }: Line): readonly unknown[] {
  const limitedTargets = typeof limited === "string" ? limited.split(" ") : [];
  return target === undefined ? limitedTargets : [target, ...limitedTargets];
}

function parseLine(text: string): readonly Line[] {
  const start = text.indexOf("{");
  if (start < 0) return [];
  try {
    return [JSON.parse(text.slice(start)) as Line];
  } catch {
    // Logs of other programs may be mixed in.
    return [];
  }
}

function getTime(line: Line): number {
  return Date.parse(String(line["time"]));
}

function formatLine(line: Line): string {
  const fields = Object.entries(line)
    .filter(([name]) => !omittedFields.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const clock = String(line["time"]).slice(11, 23);
  return [`  ${clock} ${String(line["message"])}`, ...fields].join("  ");
}
