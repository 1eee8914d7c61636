/** The versioned configuration that operators change by patches. */

/** A service's kind: `model` engines generate tokens, `plain` ones do not. */
export type ServiceKind = "model" | "plain";

/** One route of a plain service; the first matching route applies. */
export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string;
  /** Path prefix, such as `/proofs/`. */
  readonly pathPrefix: string;
  /** True when the request may run more than once. */
  readonly repeatable: boolean;
}

/** A model or plain service with its routing policy. */
export interface Service {
  readonly kind: ServiceKind;
  /** Maximum load of a target, as a multiple of the mean load; above 1. */
  readonly loadMultiple: number;
  /**
   * Maximum load of a target that accepts a request whose context it does not
   * hold, as a multiple of the mean load. It leaves capacity for chats that
   * return; see `getColdMultiple`.
   */
  readonly coldMultiple?: number;
  /** Number of requests that one target runs concurrently. */
  readonly slots: number;
  /** Maximum number of requests that wait at one target. */
  readonly queueLimit: number;
  /** Weight of each priority while requests of both wait. */
  readonly priorityWeights: {
    readonly interactive: number;
    readonly background: number;
  };
  /** Maximum number of retries, as a fraction of first attempts. */
  readonly retryBudget: number;
  /** True when the engines refuse an order with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Routes of a plain service; a call that matches none is not repeatable. */
  readonly routes: readonly Route[];
}

/** One tenant of the fleet. */
export interface Workspace {
  /** Weight in fair queueing; typically 1. */
  readonly weight: number;
  /** Maximum requests per second in the whole fleet; 0 means no limit. */
  readonly requestsPerSecond: number;
  /** Names of the services that the workspace may use; empty means all. */
  readonly services: readonly string[];
}

/** The configuration at one version. */
export interface Configuration {
  readonly version: number;
  readonly services: ReadonlyMap<string, Service>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
}

/** One change to one service or workspace. */
export type PatchOperation =
  | {
    readonly kind: "put_service";
    readonly name: string;
    readonly value: Service;
  }
  | { readonly kind: "delete_service"; readonly name: string }
  | {
    readonly kind: "put_workspace";
    readonly name: string;
    readonly value: Workspace;
  }
  | { readonly kind: "delete_workspace"; readonly name: string };

/** A patch as an operator submits it. */
export interface PatchDraft {
  /** Id that the operator chooses; the same id is never accepted twice. */
  readonly id: string;
  readonly operator: string;
  /** The configuration version that the patch is based on. */
  readonly baseVersion: number;
  readonly operations: readonly PatchOperation[];
}

/** A patch that the platform's key-value service has accepted. */
export interface Patch extends PatchDraft {
  /** The configuration version that the patch creates. */
  readonly version: number;
  /** Time of acceptance, in epoch milliseconds. */
  readonly acceptedAt: number;
}
