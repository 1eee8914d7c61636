/** Settings of one process, read from a JSON file with comments. */

/** Settings that every role has. */
export interface CommonSettings {
  /** Unique name of the process, such as `router-a1`. */
  readonly id: string;
  /** IP address that the process listens on and is reached at. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  /** Id of the VM in the platform's list. */
  readonly vm: string;
  /** Base URLs of the platform's key-value service and VM list. */
  readonly platform: {
    readonly keyValue: string;
    readonly vmList: string;
    /** Maximum number of calls per second from this process. */
    readonly callsPerSecond: number;
  };
  /** Gossip addresses (`ip:port`) to join by when the platform is down. */
  readonly seeds: readonly string[];
  /** Port for gRPC between processes. */
  readonly grpcPort: number;
  /** UDP port for gossip between processes. */
  readonly gossipPort: number;
  /** Port for operators: health, metrics, dump, configuration. */
  readonly adminPort: number;
  /** Hard limit on control traffic, in bytes per second. */
  readonly controlBytesPerSecond: number;
  /** Timeout of a graceful shutdown, in milliseconds. */
  readonly shutdownMs: number;
  readonly logLevel: "debug" | "info" | "warn" | "error";
}

/** Settings of a router. */
export interface RouterSettings extends CommonSettings {
  readonly role: "router";
  /** Port for callers. */
  readonly callerPort: number;
  /** Maximum size of a request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Maximum number of requests in flight; others are refused at once. */
  readonly maxInFlight: number;
}

/** Settings of an agent. */
export interface AgentSettings extends CommonSettings {
  readonly role: "agent";
  /** Service of the target. */
  readonly service: string;
  /** Base URL of the target. */
  readonly target: string;
  readonly kind: "model" | "plain";
  /** Relative capacity of the target; 100 for a typical one. */
  readonly weight: number;
  /** Bytes of completed responses retained for retries. */
  readonly keptAnswerBytes: number;
  /** Time for which completed responses are retained, in milliseconds. */
  readonly keptAnswerMs: number;
}

/** Settings of any role. */
export type Settings = RouterSettings | AgentSettings;
