/** Creates the exchange of one process with the rest of the fleet. */

import { addMemberPullServer, pullMembers } from "../connection/member_pull.ts";
import {
  createGossipSocket,
  type GossipSocket,
} from "../connection/gossip_socket.ts";
import {
  controlPurposes,
  createControlBudget,
} from "../process/membership/control_budget.ts";
import { createExchange } from "../process/membership/exchange.ts";
import { defaultExchangeOptions } from "../process/membership/exchange_options.ts";
import type { Member } from "../types/member.ts";
import type { Dump, Fleet } from "../types/role.ts";
import type { Settings } from "../types/settings.ts";
import type { MemberView } from "../types/view.ts";
import { createFleetJoin } from "./fleet_join.ts";
import type { FleetHost } from "./host.ts";

/**
 * Time between the leave announcement and the closing of the socket, so that
 * the announcement is sent, in milliseconds.
 */
const leaveAnnouncementDelayMs = 30;

/** Maximum share of a second's control budget for one pull response. */
const maxPullShare = 0.25;

/** Maximum number of members listed in a dump. */
const maxDumpedMembers = 200;

/** Creates the exchange with the rest of the fleet; `start` joins it. */
export function createFleet(host: FleetHost): Fleet {
  const { settings, log, metrics } = host;
  const budget = host.budget ?? createControlBudget({
    bytesPerSecond: settings.controlBytesPerSecond,
  });
  const exchange = createExchange({
    send: (bytes, to) => socket.send(bytes, to),
    pullMembers: (from, bucketHashes) =>
      pullMembers(from, { bucketHashes, budget }),
    configuration: host.configuration,
    budget,
    onReplaced: (by) => {
      log.error("Another process is running with the id of this process", {
        address: by.address,
        gossipPort: by.gossipPort,
      });
    },
    onMalformedDatagram: () => metrics.count("control_garbage_datagrams_total"),
  }, {
    ...defaultExchangeOptions,
    self: createSelf(settings),
    random: Math.random,
  });
  const socket: GossipSocket = createGossipSocket({
    receive: exchange.receive,
    onError: (error) =>
      log.warn("Gossip socket failed", { error: error.message }),
  }, { address: settings.address, port: settings.gossipPort });
  const fleetJoin = createFleetJoin({
    settings,
    platform: host.platform,
    log,
    exchange,
    budget,
  });
  const { membership } = exchange;
  let starting: Promise<void> | undefined;
  addMemberPullServer({
    budget,
    table: membership.table,
  }, {
    server: host.server,
    maxPullBytes: settings.controlBytesPerSecond * maxPullShare,
  });
  registerGauges();

  return {
    members: createMemberView(),
    means: { getMean: exchange.getMean },
    crashes: {
      getCrashes: exchange.getCrashes,
      recordCrash: exchange.recordCrash,
      clearCrashes: exchange.clearCrashes,
    },
    limits: exchange.limits,
    getSelf: membership.getSelf,
    setLoadSource: exchange.setLoadSource,
    spreadPatch: exchange.spreadPatch,
    announceLeaving: () => {
      if (membership.getSelf().state === "live") exchange.announce("leaving");
    },
    start,
    stop,
    dump,
  };

  function createMemberView(): MemberView {
    return {
      getAvailableAgents: membership.table.getAvailableAgents,
      tryGetMember: membership.table.tryGet,
      getMembers: membership.table.getAll,
      recordContact: exchange.recordContact,
    };
  }

  function start(): Promise<void> {
    starting ??= startOnce();
    return starting;
  }

  async function startOnce(): Promise<void> {
    await socket.bind();
    exchange.start();
    await fleetJoin.join();
  }

  async function stop(): Promise<void> {
    fleetJoin.stop();
    exchange.announce("dead");
    await new Promise((resolve) =>
      setTimeout(resolve, leaveAnnouncementDelayMs)
    );
    exchange.stop();
    await socket.close();
  }

  function registerGauges(): void {
    metrics.gauge("members", () => membership.table.getAll().length);
    for (const purpose of controlPurposes) {
      for (const direction of ["sent", "received"] as const) {
        const labels = `direction="${direction}",purpose="${purpose}"`;
        metrics.gauge(
          `control_bytes_total{${labels}}`,
          () => budget.getBytes(purpose, direction),
        );
      }
    }
  }

  function dump(): Dump {
    const members = membership.table.getAll();
    return {
      self: describeMember(membership.getSelf()),
      memberCount: members.length,
      membersHash: membership.table.getHash(),
      members: members.slice(0, maxDumpedMembers).map(describeMember),
      means: describeMeans(members),
      limits: exchange.limits.getSizes(),
      crashes: exchange.getCrashRecords().map((record) => ({ ...record })),
      controlBytes: budget.getTotals().map((total) => ({ ...total })),
      controlDropped: { ...budget.getDropped() },
    };
  }

  function describeMeans(members: readonly Member[]): Dump {
    const services = new Set(members.map(({ service }) => service));
    services.delete("");
    return [...services].map((service) => ({
      service,
      ...exchange.getMean(service),
    }));
  }
}

function createSelf(settings: Settings): Member {
  const isAgent = settings.role === "agent";
  return {
    id: settings.id,
    role: settings.role,
    address: settings.address,
    grpcPort: settings.grpcPort,
    gossipPort: settings.gossipPort,
    zone: settings.zone,
    region: settings.region,
    vm: settings.vm,
    service: isAgent ? settings.service : "",
    incarnation: Date.now(),
    version: 1,
    state: "live",
    weight: isAgent ? settings.weight : 100,
  };
}

function describeMember(member: Member): Dump {
  const { id, role, zone, service, incarnation, version, state } = member;
  const endpoint = `${member.address}:${member.gossipPort}`;
  return { id, role, zone, service, endpoint, incarnation, version, state };
}
