/** Parses the platform's settings file (YAML) into the router's settings. */

import { type Either, Left, Right } from "purify-ts";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import type {
  DirectSettings,
  SocketAddress,
} from "../types/direct_settings.ts";

/** A problem with one field of the file. */
export interface SettingsFinding {
  /** With only warnings the router runs: it uses defaults or skips entries. */
  readonly severity: "error" | "warning";
  /** Path of the field, such as `Listen.Front`; empty for the whole file. */
  readonly fieldPath: string;
  /** Line in the file, counted from 1; undefined when the field is missing. */
  readonly line: number | undefined;
  /** What is wrong with the field. */
  readonly problem: string;
  /** What to change in the file. */
  readonly remedy: string;
}

/** Settings, with warnings about fields that are missing or invalid. */
export interface CheckedSettings {
  readonly settings: DirectSettings;
  readonly warnings: readonly SettingsFinding[];
}

/** Defaults for fields that are missing; the platform's common values. */
const defaults = {
  loadMultiple: 2,
  retryRatio: 0.2,
  retrySlack: 50,
  retryWindowS: 10,
  graceS: 8,
  /** Time for targets that expired in an outage to register again. */
  expiryGraceMs: 2_200,
} as const;

/** Port of the metrics; the same as in deploy/system.toml. */
const metricsPort = 9_464;

/** Contract of deployments whose callers compete for capacity. */
const contentionContract = "pressure";

/** Remedy for an address that is missing or invalid. */
const addressRemedy = 'Use a string such as "10.1.0.40:8227"';

/** Parses and checks the file; on errors returns all findings at once. */
export function parseNodeSettings(
  text: string,
): Either<readonly SettingsFinding[], CheckedSettings> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const [syntaxError] = document.errors;
  if (syntaxError !== undefined) {
    return Left([{
      severity: "error",
      fieldPath: "",
      line: lines.linePos(syntaxError.pos[0]).line,
      problem: `The file is not valid YAML: ${
        syntaxError.message.split("\n")[0]
      }`,
      remedy: "Fix the line; check that quotes and brackets are closed",
    }]);
  }
  const reader = createFieldReader(document, lines);
  const settings = decodeSettings(reader);
  const findings = reader.getFindings();
  return findings.some(({ severity }) => severity === "error")
    ? Left(findings)
    : Right({ settings, warnings: findings });
}

/** Formats a finding as one line for logs and command output. */
export function formatFinding(
  { severity, fieldPath, line, problem, remedy }: SettingsFinding,
): string {
  const location = [fieldPath, line === undefined ? "" : `line ${line}`]
    .filter((part) => part !== "").join(", ");
  return `${severity}: ${
    location === "" ? "" : `${location}: `
  }${problem}. ${remedy}`;
}

/**
 * Maps the file's fields to settings. `PortRange` holds the first and the last
 * port for traffic between routers: digests use the first, pulls the next one
 * unless `Listen.Control` is set. `Bounds.CapFactor` limits a target's load as
 * a multiple of its service's mean load.
 */
function decodeSettings(reader: FieldReader): DirectSettings {
  const address = reader.getString(["Ip"], 'Use a string such as "10.1.0.40"');
  const firstPort = reader.getPort(["PortRange", 0]);
  reader.getPort(["PortRange", 1]);
  const store = reader.getAddress(["Platform", "Address"]);
  return {
    id: reader.getString(["NodeName"], "Set the name of the process"),
    zone: reader.getString(["Zone"], "Set the VM's availability zone"),
    frontend: reader.getAddress(["Listen", "Front"]),
    readiness: reader.getAddress(["Listen", "ReadyAddr"]),
    pull: reader.tryGetAddress(["Listen", "Control"]) ??
      { address, port: firstPort + 1 },
    digest: { address, port: firstPort },
    metrics: { address, port: metricsPort },
    seeds: reader.getAddresses(["Seeds"]),
    store: `http://${store.address}:${store.port}`,
    loadMultiple: reader.getNumber(
      ["Bounds", "CapFactor"],
      defaults.loadMultiple,
    ),
    hasContention: reader.hasEntry(["Contracts"], contentionContract),
    retries: {
      ratio: reader.getNumber(["Bounds", "RetryRatio"], defaults.retryRatio),
      slack: reader.getNumber(["Bounds", "RetrySlack"], defaults.retrySlack),
      windowMs: 1_000 * reader.getNumber(
        ["Bounds", "RetryWindowS"],
        defaults.retryWindowS,
      ),
    },
    graceMs: 1_000 * reader.getNumber(["Bounds", "GraceS"], defaults.graceS),
    limits: {
      cpuShare: reader.tryGetPositive(["Limits", "CpuShare"]),
      cores: reader.tryGetPositive(["Limits", "Cores"]),
      memoryMb: reader.tryGetPositive(["Limits", "MemoryMb"]),
      maxDescriptors: reader.tryGetPositive(["Limits", "MaxFds"]),
      linkMbps: reader.tryGetPositive(["Limits", "LinkMbps"]),
    },
    expiryGraceMs: defaults.expiryGraceMs,
  };
}

/** Keys and list indexes that lead to a field. */
type FieldPath = readonly (string | number)[];

/** Reads fields and collects findings about them. */
interface FieldReader {
  getString(path: FieldPath, remedy: string): string;
  getPort(path: FieldPath): number;
  getAddress(path: FieldPath): SocketAddress;
  /** Returns undefined, without a finding, when the field is missing. */
  tryGetAddress(path: FieldPath): SocketAddress | undefined;
  /** Skips entries that are not addresses, with a warning for each. */
  getAddresses(path: FieldPath): readonly SocketAddress[];
  /** Returns true when the field is a list that contains the text. */
  hasEntry(path: FieldPath, entry: string): boolean;
  /** Returns `fallback`, with a warning, unless it is a number of 0 or more. */
  getNumber(path: FieldPath, fallback: number): number;
  /** Returns undefined unless it is a number above 0; warns if it is another. */
  tryGetPositive(path: FieldPath): number | undefined;
  getFindings(): readonly SettingsFinding[];
}

function createFieldReader(
  document: Document,
  lines: LineCounter,
): FieldReader {
  const findings: SettingsFinding[] = [];

  return {
    getString,
    getPort,
    getAddress,
    tryGetAddress,
    getAddresses,
    hasEntry,
    getNumber,
    tryGetPositive,
    getFindings: () => findings,
  };

  function getString(path: FieldPath, remedy: string): string {
    const value = document.getIn(path);
    if (typeof value === "string" && value !== "") return value;
    addFinding("error", path, {
      problem: describeProblem(value, "a string"),
      remedy,
    });
    return "";
  }

  function getPort(path: FieldPath): number {
    const value = document.getIn(path);
    if (isPort(value)) return value;
    addFinding("error", path, {
      problem: describeProblem(value, "a port"),
      remedy:
        "Set the first and last port, 1 to 65535, for use between routers",
    });
    return 1;
  }

  function getAddress(path: FieldPath): SocketAddress {
    const value = document.getIn(path);
    const address = tryParseAddress(value);
    if (address !== undefined) return address;
    const problem = describeProblem(value, "IP:PORT");
    addFinding("error", path, { problem, remedy: addressRemedy });
    return { address: "", port: 0 };
  }

  function tryGetAddress(path: FieldPath): SocketAddress | undefined {
    return document.hasIn(path) ? getAddress(path) : undefined;
  }

  function getList(path: FieldPath): readonly unknown[] {
    const root: unknown = document.toJS();
    const value = path.reduce<unknown>(
      (parent, name) => (parent as Record<string, unknown> | null)?.[name],
      root,
    );
    return Array.isArray(value) ? value : [];
  }

  function hasEntry(path: FieldPath, entry: string): boolean {
    return getList(path).includes(entry);
  }

  function getAddresses(path: FieldPath): readonly SocketAddress[] {
    return getList(path).flatMap((entry: unknown, index) => {
      const address = tryParseAddress(entry);
      if (address !== undefined) return [address];
      const problem = describeProblem(entry, "IP:PORT");
      addFinding("warning", [...path, index], {
        problem,
        remedy: addressRemedy,
      });
      return [];
    });
  }

  function getNumber(path: FieldPath, fallback: number): number {
    const value = document.getIn(path);
    if (typeof value === "number" && Number.isFinite(value) && value >= 0) {
      return value;
    }
    addFinding("warning", path, {
      problem: describeProblem(value, "a number of 0 or more"),
      remedy: `Using the default ${fallback}; set the value of the deployment`,
    });
    return fallback;
  }

  function tryGetPositive(path: FieldPath): number | undefined {
    const value = document.getIn(path);
    if (value === undefined || value === null) return undefined;
    if (typeof value === "number" && Number.isFinite(value) && value > 0) {
      return value;
    }
    addFinding("warning", path, {
      problem: describeProblem(value, "a number above 0"),
      remedy: "Ignoring it; set the value of the deployment",
    });
    return undefined;
  }

  function addFinding(
    severity: SettingsFinding["severity"],
    path: FieldPath,
    details: Pick<SettingsFinding, "problem" | "remedy">,
  ): void {
    const node = document.getIn(path, true);
    const start = isNode(node) ? node.range?.[0] : undefined;
    findings.push({
      severity,
      fieldPath: path.join("."),
      line: start === undefined ? undefined : lines.linePos(start).line,
      ...details,
    });
  }
}

function describeProblem(value: unknown, type: string): string {
  if (value === undefined || value === null) return `Missing, expected ${type}`;
  const actualValue = typeof value === "object"
    ? "a mapping or sequence"
    : JSON.stringify(value);
  return `Is ${actualValue}, expected ${type}`;
}

function tryParseAddress(value: unknown): SocketAddress | undefined {
  if (typeof value !== "string") return undefined;
  const colonIndex = value.lastIndexOf(":");
  const port = Number(value.slice(colonIndex + 1));
  if (colonIndex <= 0 || !isPort(port)) return undefined;
  return { address: value.slice(0, colonIndex), port };
}

function isPort(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) > 0 &&
    Number(value) <= 65_535;
}
