import type {
  SessionEvent,
  SessionEventKind,
  SessionEventOf,
} from "./session_event.ts";

/** A breach of an invariant in a recorded session. */
export interface Violation {
  /** Name of the invariant. */
  readonly invariant: string;
  /** Time of the event that broke the invariant, in milliseconds. */
  readonly at: number;
  /** Description of the breach, a sentence without a full stop. */
  readonly message: string;
}

/** A guarantee of the system that is checked against a recorded session. */
export abstract class Invariant {
  /** Short name in lower case, used in reports. */
  abstract readonly name: string;

  /** Finds all violations in a session whose events are ordered by time. */
  abstract check(session: readonly SessionEvent[]): readonly Violation[];

  /** Creates a violation of this invariant. */
  protected violation(at: number, message: string): Violation {
    return { invariant: this.name, at, message };
  }
}

/** Selects the events of one kind. */
export function eventsOf<Kind extends SessionEventKind>(
  session: readonly SessionEvent[],
  kind: Kind,
): readonly SessionEventOf<Kind>[] {
  return session.filter((event) =>
    event.kind === kind
  ) as unknown as readonly SessionEventOf<Kind>[];
}

/** Groups items by key; groups are in the order of their first items. */
export function groupBy<Item, Key>(
  items: readonly Item[],
  key: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const group = groups.get(key(item));
    if (group === undefined) groups.set(key(item), [item]);
    else group.push(item);
  }
  return groups;
}
