/** Settings of a router that reaches targets directly. */

/** An IP address and a port. */
export interface SocketAddress {
  readonly address: string;
  readonly port: number;
}

/**
 * What the machine grants to one router process. A value is undefined when the
 * settings don't have it; bounds that depend on it are then not used.
 */
export interface ProcessLimits {
  /** Processor time in seconds that the process gets in a second. */
  readonly cpuShare: number | undefined;
  /** Cores that the process may use at the same time. */
  readonly cores: number | undefined;
  /** Memory in megabytes, above which the process is killed. */
  readonly memoryMb: number | undefined;
  readonly maxDescriptors: number | undefined;
  /** Rate of the link in megabits a second, in each direction. */
  readonly linkMbps: number | undefined;
}

/** Settings of one router process. */
export interface DirectSettings {
  /** Unique name of the process on its VM. */
  readonly id: string;
  /** Availability zone. */
  readonly zone: string;
  /** Address that callers connect to. */
  readonly frontend: SocketAddress;
  /** Address of the readiness check for the load balancer. */
  readonly readiness: SocketAddress;
  /** Address from which peers pull the directory over gRPC. */
  readonly pull: SocketAddress;
  /** UDP address for digests between routers. */
  readonly digest: SocketAddress;
  /** Address that serves metrics and the dump. */
  readonly metrics: SocketAddress;
  /** Pull addresses of peers to use while the store is unavailable at start. */
  readonly seeds: readonly SocketAddress[];
  /** Base URL of the store. */
  readonly store: string;
  /** Maximum load of a target, as a multiple of its service's mean load. */
  readonly loadMultiple: number;
  /**
   * True when callers compete for the targets' capacity, so that requests are
   * queued and targets are paced; it may also be found out while running.
   */
  readonly hasContention: boolean;
  readonly retries: {
    /** Retries that the fleet may send, as a fraction of the requests. */
    readonly ratio: number;
    /** Additional retries in each window, for the whole fleet. */
    readonly slack: number;
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
  };
  /** Time from SIGTERM to the end of the process, in milliseconds. */
  readonly graceMs: number;
  readonly limits: ProcessLimits;
  /**
   * Time after an outage of the store for which entries that expired in it stay
   * usable, so that their targets can register again, in milliseconds.
   */
  readonly expiryGraceMs: number;
}
