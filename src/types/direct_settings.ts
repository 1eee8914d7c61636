/** Settings of a router that reaches targets directly. */

/** An IP number with a port. */
export interface SocketAddress {
  readonly address: string;
  readonly port: number;
}

/** Settings of one process. */
export interface DirectSettings {
  /** Unique name of the process on its VM. */
  readonly id: string;
  /** Availability zone. */
  readonly zone: string;
  /** Where callers connect. */
  readonly frontend: SocketAddress;
  /** Where the balancer asks whether to send new connections. */
  readonly readiness: SocketAddress;
  /** Where peers pull the directory over gRPC. */
  readonly pull: SocketAddress;
  /** UDP address for digests between routers. */
  readonly digest: SocketAddress;
  /** Where metrics and the dump are served. */
  readonly metrics: SocketAddress;
  /** Pull addresses of routers that may be up before the store is. */
  readonly seeds: readonly SocketAddress[];
  /** Base URL of the store. */
  readonly store: string;
  /** No target holds more than this multiple of its service's mean load. */
  readonly loadMultiple: number;
  readonly retries: {
    /** Repeats that the fleet may send, as a share of the requests. */
    readonly ratio: number;
    /** Repeats beyond that in any window, for the whole fleet. */
    readonly slack: number;
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
  };
  /** Time between SIGTERM and the end of the process, in milliseconds. */
  readonly graceMs: number;
  /** Time in which entries that lapsed in an outage come back, in ms. */
  readonly expiryGraceMs: number;
}
