/** Defines the settings: the values that each accepts, and its default. */

/** The check and the default value of one setting. */
export interface SettingField {
  /** Describes a valid value; completes "field must be ...". */
  readonly expected: string;
  accepts(value: unknown): boolean;
  /** Default value; absent when the setting is required. */
  readonly fallback?: unknown;
}

/** Settings by path, such as `platform.keyValue`. */
export type SettingFields = Readonly<Record<string, SettingField>>;

/** Maximum port number. */
const maxPort = 65_535;

/** Minimum rate of control traffic at which the exchange still works. */
const minControlBytesPerSecond = 1_000;

/** Maximum duration of a graceful shutdown. */
const maxShutdownMs = 3_600_000;

const text: SettingField = {
  expected: "a text that is not empty",
  accepts: (value) => typeof value === "string" && value.length > 0,
};

const ipAddress: SettingField = {
  expected: 'an IP number such as "10.0.0.7"',
  accepts: isIpAddress,
};

const port: SettingField = integerField(1, maxPort);

const baseUrl: SettingField = {
  expected: 'a base URL such as "http://10.0.0.7:8000"',
  accepts: (value) =>
    typeof value === "string" && /^https?:\/\//.test(value) &&
    URL.canParse(value),
};

const commonFields: SettingFields = {
  role: oneOf(["router", "agent"]),
  id: {
    expected: "a name of 1 to 64 letters, digits, dots and dashes",
    accepts: (value) =>
      typeof value === "string" && /^[A-Za-z0-9.-]{1,64}$/.test(value),
  },
  address: ipAddress,
  zone: text,
  region: text,
  vm: text,
  "platform.keyValue": baseUrl,
  "platform.vmList": baseUrl,
  "platform.callsPerSecond": integerField(1, 10_000, 20),
  seeds: {
    expected: 'a list of addresses such as "10.0.0.7:7400"',
    accepts: (value) => Array.isArray(value) && value.every(isSocketAddress),
    fallback: [],
  },
  grpcPort: port,
  gossipPort: port,
  adminPort: port,
  controlBytesPerSecond: integerField(
    minControlBytesPerSecond,
    10_000_000,
    22_000,
  ),
  shutdownMs: integerField(0, maxShutdownMs, 60_000),
  logLevel: { ...oneOf(["debug", "info", "warn", "error"]), fallback: "info" },
};

const routerFields: SettingFields = {
  callerPort: port,
  maxBodyBytes: integerField(1, 1_073_741_824, 4_194_304),
  maxInFlight: integerField(1, 1_000_000, 2_000),
};

const agentFields: SettingFields = {
  service: text,
  target: baseUrl,
  kind: oneOf(["model", "plain"]),
  weight: integerField(1, 100_000, 100),
  keptAnswerBytes: integerField(0, 1_073_741_824, 16_777_216),
  keptAnswerMs: integerField(0, 86_400_000, 600_000),
};

/** The setting fields of each role. */
export const settingFields: Readonly<
  Record<"router" | "agent", SettingFields>
> = {
  router: { ...commonFields, ...routerFields },
  agent: { ...commonFields, ...agentFields },
};

/** The setting fields that all roles share, for a file without a role. */
export const sharedSettingFields: SettingFields = commonFields;

/** Returns the field of an integer; it is required without a fallback. */
function integerField(
  min: number,
  max: number,
  fallback?: number,
): SettingField {
  return {
    expected: `a whole number from ${min} to ${max}`,
    accepts: (value) =>
      Number.isInteger(value) && Number(value) >= min &&
      Number(value) <= max,
    ...(fallback === undefined ? {} : { fallback }),
  };
}

/** Returns the field of a string that must be one of the allowed ones. */
function oneOf(allowed: readonly string[]): SettingField {
  return {
    expected: `one of ${
      allowed.map((word) => JSON.stringify(word)).join(", ")
    }`,
    accepts: (value) => typeof value === "string" && allowed.includes(value),
  };
}

/** Returns true for an IPv4 or IPv6 address. */
function isIpAddress(value: unknown): boolean {
  if (typeof value !== "string") return false;
  const parts = value.split(".");
  if (parts.length === 4) return parts.every(isOctet);
  return value.includes(":") && URL.canParse(`http://[${value}]/`);
}

/** Returns true for one part of an IPv4 address, without leading zeros. */
function isOctet(part: string): boolean {
  return /^(0|[1-9]\d{0,2})$/.test(part) && Number(part) <= 255;
}

/** Returns true for an IP address with a port. */
function isSocketAddress(value: unknown): boolean {
  if (typeof value !== "string") return false;
  const split = value.lastIndexOf(":");
  const host = value.slice(0, split).replace(/^\[(.*)\]$/, "$1");
  const portNumber = Number(value.slice(split + 1));
  return split > 0 && isIpAddress(host) && port.accepts(portNumber);
}
