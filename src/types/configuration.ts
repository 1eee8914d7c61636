/** The numbered configuration that operators change by patches. */

/** What a service is: engines that generate tokens, or plain calls. */
export type ServiceKind = "model" | "plain";

/** One route of a plain service; the first match decides. */
export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string;
  /** Path prefix, such as `/proofs/`. */
  readonly pathPrefix: string;
  readonly repeatable: boolean;
}

/** A model or plain service with its routing policy. */
export interface Service {
  readonly kind: ServiceKind;
  /** No target is loaded beyond this multiple of the mean; above 1. */
  readonly loadMultiple: number;
  /**
   * Work whose context a target does not hold is taken up to this multiple,
   * so that room is left for chats that return; see `getColdMultiple`.
   */
  readonly coldMultiple?: number;
  /** Requests that one target runs at the same time. */
  readonly slots: number;
  /** Requests that may wait at one target. */
  readonly queueLimit: number;
  /** Share of each priority when both wait. */
  readonly priorityWeights: {
    readonly interactive: number;
    readonly background: number;
  };
  /** Retries allowed as a fraction of first tries. */
  readonly retryBudget: number;
  /** True when the engines refuse an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Routes of a plain service; an unmatched call is not repeatable. */
  readonly routes: readonly Route[];
}

/** One tenant of the fleet. */
export interface Workspace {
  /** Weight in fair queueing; 1 is usual. */
  readonly weight: number;
  /** Requests per second over the whole fleet; 0 means no limit. */
  readonly requestsPerSecond: number;
  /** Services the workspace may use; empty means all. */
  readonly services: readonly string[];
}

/** The configuration at one version. */
export interface Configuration {
  readonly version: number;
  readonly services: ReadonlyMap<string, Service>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
}

/** One change of one entry. */
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
  /** Chosen by the operator; the same id is never accepted twice. */
  readonly id: string;
  readonly operator: string;
  /** The version that the operator had seen. */
  readonly baseVersion: number;
  readonly operations: readonly PatchOperation[];
}

/** A patch that the platform's service has accepted under a version. */
export interface Patch extends PatchDraft {
  readonly version: number;
  /** Time of acceptance, in epoch milliseconds. */
  readonly acceptedAt: number;
}
