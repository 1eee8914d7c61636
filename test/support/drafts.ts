/** Creates patches, configuration entries and members for tests. */

import type {
  PatchDraft,
  PatchOperation,
  Service,
  Workspace,
} from "../../src/types/configuration.ts";
import type { Member } from "../../src/types/member.ts";

/** Creates a service with default values. */
export function createService(changes: Partial<Service> = {}): Service {
  return {
    kind: "model",
    loadMultiple: 1.25,
    slots: 8,
    queueLimit: 32,
    priorityWeights: { interactive: 4, background: 1 },
    retryBudget: 0.1,
    checksFencing: true,
    routes: [],
    ...changes,
  };
}

/** Creates a workspace with default values. */
export function createWorkspace(changes: Partial<Workspace> = {}): Workspace {
  return { weight: 1, requestsPerSecond: 0, services: [], ...changes };
}

/** Creates an operation that puts a workspace. */
export function putWorkspace(name: string, weight = 1): PatchOperation {
  const value = createWorkspace({ weight });
  return { kind: "put_workspace", name, value };
}

/** Creates a patch that puts one workspace on top of version 0. */
export function createDraft(changes: Partial<PatchDraft> = {}): PatchDraft {
  return {
    id: "patch-1",
    operator: "mina",
    baseVersion: 0,
    operations: [putWorkspace("studio-1")],
    ...changes,
  };
}

/** Creates the member record of a live router. */
export function createRouterMember(id: string): Member {
  return {
    id,
    role: "router",
    address: "127.0.0.1",
    grpcPort: 1,
    gossipPort: 2,
    vm: id,
    zone: "coast-a",
    region: "bc-coast",
    service: "",
    incarnation: 1,
    version: 1,
    state: "live",
    weight: 100,
  };
}
