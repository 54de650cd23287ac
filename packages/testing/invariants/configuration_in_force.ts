import { eventsOf, groupBy, Invariant, type Violation } from "./invariant.ts";
import type { SessionEvent, SessionEventOf } from "./session_event.ts";

/** Time within which an accepted version is in force (active) on every node. */
export const IN_FORCE_LIMIT_MS = 8_000;

interface NodeRecord {
  readonly node: string;
  /** Time since which the node runs and is reachable, in milliseconds. */
  followsSince: number;
  /** Whether the node has loaded a configuration. */
  ready: boolean;
  reachable: boolean;
  readonly versions: Map<string, number>;
}

/**
 * Checks that an accepted configuration is in force on every ready node within
 * 8 s and is never reverted, and that operators receive correct responses. For
 * a node that is paused or cut off, the 8 s begin when it is resumed or
 * reconnected.
 */
export class ConfigurationInForce extends Invariant {
  readonly name = "accepted configuration is in force and stays";

  check(session: readonly SessionEvent[]): readonly Violation[] {
    return [
      ...this.#checkNodes(session),
      ...this.#checkHistory(session),
      ...this.#checkAnswers(session),
    ];
  }

  #checkNodes(session: readonly SessionEvent[]): readonly Violation[] {
    const nodes = new Map<string, NodeRecord>();
    const committed: SessionEventOf<"change_committed">[] = [];
    const reported = new Set<string>();
    const violations: Violation[] = [];
    const checkDelays = (now: number) => {
      for (const { at, document, version } of committed) {
        for (const node of nodes.values()) {
          const since = Math.max(at, node.followsSince);
          const held = node.versions.get(document) ?? 0;
          if (!node.ready || !node.reachable || held >= version) continue;
          if (now - since <= IN_FORCE_LIMIT_MS) continue;
          const key = `${node.node} ${document} ${version}`;
          if (reported.has(key)) continue;
          reported.add(key);
          violations.push(
            this.violation(
              since + IN_FORCE_LIMIT_MS,
              `${node.node} does not have version ${version} of ${document} in force after 8 s`,
            ),
          );
        }
      }
    };
    for (const event of session) {
      checkDelays(event.at);
      if (event.kind === "change_committed") committed.push(event);
      if (event.kind === "version_in_force") {
        const versions = nodes.get(event.node)?.versions;
        const held = versions?.get(event.document) ?? 0;
        if (event.version < held) {
          violations.push(
            this.violation(
              event.at,
              `${event.node} went back from version ${held} of ${event.document} to ${event.version}`,
            ),
          );
        }
        versions?.set(event.document, event.version);
      }
      if (event.kind === "node_changed") applyNodeChange(nodes, event);
    }
    return violations;
  }

  #checkHistory(session: readonly SessionEvent[]): readonly Violation[] {
    const latest = new Map<string, number>();
    return eventsOf(session, "change_committed").flatMap((event) => {
      const { document, version, replaced, at } = event;
      const before = latest.get(document) ?? 0;
      latest.set(document, version);
      return replaced === before ? [] : [
        this.violation(
          at,
          `version ${version} of ${document} replaced ${replaced}, but ${before} was accepted`,
        ),
      ];
    });
  }

  #checkAnswers(session: readonly SessionEvent[]): readonly Violation[] {
    const committed = groupBy(
      eventsOf(session, "change_committed"),
      ({ change }) => change,
    );
    return eventsOf(session, "change_answered").flatMap((event) => {
      const commits = committed.get(event.change) ?? [];
      const stored = commits.some(({ version }) => version === event.version);
      if (commits.length > 1) {
        return [
          this.violation(event.at, `change ${event.change} was stored twice`),
        ];
      }
      if (event.result === "accepted" && !stored) {
        return [
          this.violation(
            event.at,
            `change ${event.change} was accepted but is not stored as version ${event.version}`,
          ),
        ];
      }
      const denied = event.result !== "accepted" &&
        event.result !== "outcome_unknown";
      return denied && commits.length > 0
        ? [
          this.violation(
            event.at,
            `change ${event.change} was answered as ${event.result} but is stored`,
          ),
        ]
        : [];
    });
  }
}

function applyNodeChange(
  nodes: Map<string, NodeRecord>,
  { node, state, at }: SessionEventOf<"node_changed">,
): void {
  const record = nodes.get(node);
  if (state === "killed") nodes.delete(node);
  else if (state === "started") {
    nodes.set(node, {
      node,
      followsSince: at,
      ready: false,
      reachable: true,
      versions: new Map(),
    });
  } else if (record !== undefined) {
    if (state === "ready") record.ready = true;
    record.reachable = state !== "paused" && state !== "cut_off";
    if (state !== "ready") record.followsSince = at;
  }
}
