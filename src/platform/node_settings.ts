/** Reads the platform's settings file into the router's settings. */

import { type Either, Left, Right } from "purify-ts";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import type {
  DirectSettings,
  SocketAddress,
} from "../types/direct_settings.ts";

/** What is wrong with one field of the file. */
export interface SettingsFinding {
  /** A warning leaves the router able to run, with a value of its own. */
  readonly severity: "error" | "warning";
  /** Path of the field, such as `Listen.Front`; empty for the whole file. */
  readonly place: string;
  /** Line in the file, counted from 1; undefined when the field is missing. */
  readonly line: number | undefined;
  readonly problem: string;
  readonly remedy: string;
}

/** Settings with what was replaced in them. */
export interface CheckedSettings {
  readonly settings: DirectSettings;
  readonly warnings: readonly SettingsFinding[];
}

/** Values that hold where the file has none; the platform's usual ones. */
const fallbacks = {
  loadMultiple: 2,
  retryRatio: 0.2,
  retrySlack: 50,
  retryWindowS: 10,
  graceS: 8,
  lapseReturnMs: 2_200,
} as const;

/** Port of the metrics, as deploy/system.toml names it. */
const metricsPort = 9_464;

/** Shown for an address that is missing or cannot be read. */
const addressRemedy = 'Give a text such as "10.1.0.40:8227"';

/** Checks the text of the file; errors come with all that is wrong at once. */
export function readNodeSettings(
  text: string,
): Either<readonly SettingsFinding[], CheckedSettings> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const [broken] = document.errors;
  if (broken !== undefined) {
    return Left([{
      severity: "error",
      place: "",
      line: lines.linePos(broken.pos[0]).line,
      problem: `The file is not YAML: ${broken.message.split("\n")[0]}`,
      remedy: "Mend the line; check that quotes and brackets are closed",
    }]);
  }
  const reader = createFieldReader(document, lines);
  const settings = readSettings(reader);
  const findings = reader.getFindings();
  return findings.some(({ severity }) => severity === "error")
    ? Left(findings)
    : Right({ settings, warnings: findings });
}

/** One line for people and logs. */
export function formatFinding(
  { severity, place, line, problem, remedy }: SettingsFinding,
): string {
  const where = [place, line === undefined ? "" : `line ${line}`]
    .filter((part) => part !== "").join(", ");
  return `${severity}: ${
    where === "" ? "" : `${where}: `
  }${problem}. ${remedy}`;
}

function readSettings(reader: FieldReader): DirectSettings {
  const address = reader.getText(["Ip"], 'Give a text such as "10.1.0.40"');
  const firstPort = reader.getPort(["PortRange", 0]);
  reader.getPort(["PortRange", 1]);
  const store = reader.getAddress(["Platform", "Address"]);
  return {
    id: reader.getText(["NodeName"], "Give the process a name"),
    zone: reader.getText(["Zone"], "Give the VM's availability zone"),
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
      fallbacks.loadMultiple,
    ),
    retries: {
      ratio: reader.getNumber(["Bounds", "RetryRatio"], fallbacks.retryRatio),
      slack: reader.getNumber(["Bounds", "RetrySlack"], fallbacks.retrySlack),
      windowMs: 1_000 * reader.getNumber(
        ["Bounds", "RetryWindowS"],
        fallbacks.retryWindowS,
      ),
    },
    graceMs: 1_000 * reader.getNumber(["Bounds", "GraceS"], fallbacks.graceS),
    expiryGraceMs: fallbacks.lapseReturnMs,
  };
}

type Path = readonly (string | number)[];

/** Reads fields and collects what is wrong with them. */
interface FieldReader {
  getText(path: Path, remedy: string): string;
  getPort(path: Path): number;
  getAddress(path: Path): SocketAddress;
  /** Undefined without a finding when the field is missing. */
  tryGetAddress(path: Path): SocketAddress | undefined;
  /** Entries that are no addresses are left out with a warning. */
  getAddresses(path: Path): readonly SocketAddress[];
  getNumber(path: Path, fallback: number): number;
  getFindings(): readonly SettingsFinding[];
}

function createFieldReader(
  document: Document,
  lines: LineCounter,
): FieldReader {
  const findings: SettingsFinding[] = [];

  return {
    getText,
    getPort,
    getAddress,
    tryGetAddress,
    getAddresses,
    getNumber,
    getFindings: () => findings,
  };

  function getText(path: Path, remedy: string): string {
    const value = document.getIn(path);
    if (typeof value === "string" && value !== "") return value;
    note("error", path, { problem: describe(value, "a text"), remedy });
    return "";
  }

  function getPort(path: Path): number {
    const value = document.getIn(path);
    if (isPort(value)) return value;
    note("error", path, {
      problem: describe(value, "a port"),
      remedy: "Give two ports, 1 to 65535, that routers may use among them",
    });
    return 1;
  }

  function getAddress(path: Path): SocketAddress {
    const value = document.getIn(path);
    const address = tryParseAddress(value);
    if (address !== undefined) return address;
    const problem = describe(value, "IP:PORT");
    note("error", path, { problem, remedy: addressRemedy });
    return { address: "", port: 0 };
  }

  function tryGetAddress(path: Path): SocketAddress | undefined {
    return document.hasIn(path) ? getAddress(path) : undefined;
  }

  function getAddresses(path: Path): readonly SocketAddress[] {
    const list: unknown = document.toJS();
    const value = path.reduce<unknown>(
      (at, name) => (at as Record<string, unknown> | null)?.[name],
      list,
    );
    if (!Array.isArray(value)) return [];
    return value.flatMap((entry: unknown, index) => {
      const address = tryParseAddress(entry);
      if (address !== undefined) return [address];
      const problem = describe(entry, "IP:PORT");
      note("warning", [...path, index], { problem, remedy: addressRemedy });
      return [];
    });
  }

  function getNumber(path: Path, fallback: number): number {
    const value = document.getIn(path);
    if (typeof value === "number" && Number.isFinite(value) && value >= 0) {
      return value;
    }
    note("warning", path, {
      problem: describe(value, "a number of 0 or more"),
      remedy: `${fallback} is used; give the bound of the deployment`,
    });
    return fallback;
  }

  function note(
    severity: SettingsFinding["severity"],
    path: Path,
    told: Pick<SettingsFinding, "problem" | "remedy">,
  ): void {
    const node = document.getIn(path, true);
    const start = isNode(node) ? node.range?.[0] : undefined;
    findings.push({
      severity,
      place: path.join("."),
      line: start === undefined ? undefined : lines.linePos(start).line,
      ...told,
    });
  }
}

function describe(value: unknown, wanted: string): string {
  if (value === undefined || value === null) return `Is missing; ${wanted}`;
  const shown = typeof value === "object" ? "a table" : JSON.stringify(value);
  return `Is ${shown}, not ${wanted}`;
}

function tryParseAddress(value: unknown): SocketAddress | undefined {
  if (typeof value !== "string") return undefined;
  const at = value.lastIndexOf(":");
  const port = Number(value.slice(at + 1));
  if (at <= 0 || !isPort(port)) return undefined;
  return { address: value.slice(0, at), port };
}

function isPort(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) > 0 &&
    Number(value) <= 65_535;
}
