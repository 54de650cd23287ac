import { create } from "@bufbuild/protobuf";
import {
  type DatagramChannel,
  isLive,
  type MemberView,
} from "@oleanderdeck/membership";
import {
  VersionAnswerSchema,
  VersionQuerySchema,
} from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import type { ConfigurationReplica } from "./configuration_replica.ts";

/** Options of {@linkcode RolloutQuery}. */
export interface RolloutQueryOptions {
  readonly replica: ConfigurationReplica;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
}

/** Number of members by their active version of a document. */
export interface RolloutReport {
  /** Number of nodes by version; 0 stands for nodes without the document. */
  readonly nodesByVersion: ReadonlyMap<number, number>;
  /** Number of live members that did not respond. */
  readonly unanswered: number;
}

/** Maximum number of queries that a node sends per second. */
export const QUERIES_PER_SECOND = 1_000;

/** Time between two batches of queries, in milliseconds. */
const BATCH_INTERVAL_MS = 50;

/** Time to wait for responses after the last query, in milliseconds. */
const RESPONSE_WAIT_MS = 500;

/** Maximum number of queries to a member that does not respond. */
const MAX_ATTEMPTS = 3;

interface RunningQuery {
  /** Ids of the nodes that have not responded yet. */
  readonly awaited: Set<string>;
  /** Reported versions by node id. */
  readonly versions: Map<string, number>;
}

/**
 * Queries all members for their active version of a document, and responds to
 * such queries.
 */
export class RolloutQuery {
  readonly #options: RolloutQueryOptions;
  readonly #queries = new Map<number, RunningQuery>();
  readonly #removers: (() => void)[];
  /**
   * Latest count. Counts run one at a time, so that the limit of the query rate
   * holds for all of them together.
   */
  #previous: Promise<unknown> = Promise.resolve();
  #queryNumber = 0;

  /** @param options The members, the channel and the node's own replica. */
  constructor(options: RolloutQueryOptions) {
    this.#options = options;
    const { channel, replica } = options;
    this.#removers = [
      channel.onMessage("versionQuery", ({ name, queryNumber }, sender) => {
        const version = BigInt(replica.activeVersion(name));
        channel.send(sender.nodeId, {
          case: "versionAnswer",
          value: create(VersionAnswerSchema, { queryNumber, version }),
        });
      }),
      channel.onMessage("versionAnswer", ({ queryNumber, version }, sender) => {
        const query = this.#queries.get(queryNumber);
        if (query?.awaited.delete(sender.nodeId)) {
          query.versions.set(sender.nodeId, Number(version));
        }
      }),
    ];
  }

  /** Counts the live members, this one included, by their active version. */
  countVersions(name: string): Promise<RolloutReport> {
    const report = this.#previous.then(() => this.#countVersions(name));
    this.#previous = report;
    return report;
  }

  /** Stops responding to queries and receiving responses. */
  close(): void {
    for (const remove of this.#removers) remove();
  }

  async #countVersions(name: string): Promise<RolloutReport> {
    const { replica, members, clock } = this.#options;
    this.#queryNumber = (this.#queryNumber + 1) >>> 0;
    const queryNumber = this.#queryNumber;
    const self = members.self().nodeId;
    const query: RunningQuery = {
      awaited: new Set(
        members.members().filter((member) =>
          member.nodeId !== self && isLive(member)
        ).map(({ nodeId }) => nodeId),
      ),
      versions: new Map([[self, replica.activeVersion(name)]]),
    };
    this.#queries.set(queryNumber, query);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (query.awaited.size === 0) break;
      await this.#sendQueries(name, queryNumber, [...query.awaited]);
      await clock.sleep(RESPONSE_WAIT_MS);
    }
    this.#queries.delete(queryNumber);
    const nodesByVersion = new Map<number, number>();
    for (const version of query.versions.values()) {
      nodesByVersion.set(version, (nodesByVersion.get(version) ?? 0) + 1);
    }
    return { nodesByVersion, unanswered: query.awaited.size };
  }

  async #sendQueries(
    name: string,
    queryNumber: number,
    nodeIds: readonly string[],
  ): Promise<void> {
    const { channel, clock } = this.#options;
    const batchSize = QUERIES_PER_SECOND * BATCH_INTERVAL_MS / 1_000;
    for (let start = 0; start < nodeIds.length; start += batchSize) {
      for (const nodeId of nodeIds.slice(start, start + batchSize)) {
        channel.send(nodeId, {
          case: "versionQuery",
          value: create(VersionQuerySchema, { name, queryNumber }),
        });
      }
      await clock.sleep(BATCH_INTERVAL_MS);
    }
  }
}
