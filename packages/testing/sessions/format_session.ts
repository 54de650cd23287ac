import type { SessionEvent, SessionEventOf } from "../invariants/mod.ts";

/** Prefix of the ids of changes that store the initial documents. */
const START_CHANGE = "start of ";

/**
 * Formats a session as text with one line per event, which begins with the time
 * in seconds. Requests for admission, immediate admissions, first attempts and
 * the initial documents are omitted.
 */
export function formatSession(session: readonly SessionEvent[]): string {
  const formatter = new SessionFormatter();
  const lines = session.flatMap((event) => {
    const text = formatter.format(event);
    if (text === undefined) return [];
    return [`${(event.at / 1_000).toFixed(3).padStart(7)} s  ${text}`];
  });
  return lines.join("\n") + "\n";
}

class SessionFormatter {
  readonly #requests = new Map<number, SessionEventOf<"request_sent">>();
  readonly #seenIdentities = new Set<string>();
  readonly #executions = new Map<number, SessionEventOf<"execution_started">>();
  readonly #admissions = new Map<number, SessionEventOf<"admission_asked">>();
  readonly #startVersions = new Set<string>();

  format(event: SessionEvent): string | undefined {
    switch (event.kind) {
      case "request_sent": {
        this.#requests.set(event.sending, event);
        const again = this.#seenIdentities.has(event.identity) ? " again" : "";
        this.#seenIdentities.add(event.identity);
        return `${event.caller} sends ${event.identity}${again} to ${event.node}`;
      }
      case "response_received":
        return this.#formatResponse(event);
      case "attempt_sent":
        return event.attempt === 1
          ? undefined
          : `${event.node} tries ${event.service} again for ${
            this.#requestName(event.sending)
          }, attempt ${event.attempt}`;
      case "execution_started": {
        this.#executions.set(event.execution, event);
        const what = event.root
          ? event.identity
          : `a call for ${event.identity}`;
        return `${event.server} begins ${what}, attempt ${event.attempt}, fence ${event.fence}`;
      }
      case "execution_ended":
        return this.#formatEnd(event);
      case "admission_asked":
        this.#admissions.set(event.admissionId, event);
        return undefined;
      case "admission_answered":
        return this.#formatAdmission(event);
      case "server_changed":
        return `${event.server} is ${event.state}`;
      case "node_changed":
        return `node ${event.node} is ${event.state.replace("_", " ")}`;
      case "store_changed":
        return `the store is ${event.state}`;
      case "change_asked":
        return `${event.operator} asks ${event.node} to change ${event.document} from version ${event.expectedVersion}: ${event.change}`;
      case "change_answered":
        return `${event.operator} is told that ${event.change} is ${
          event.result === "accepted"
            ? `accepted as version ${event.version}`
            : `refused: ${event.result}`
        }`;
      case "change_committed": {
        const { change, document, version } = event;
        if (change.startsWith(START_CHANGE)) {
          this.#startVersions.add(`${document} ${version}`);
          return undefined;
        }
        return `the store holds ${document} version ${version}: ${change}`;
      }
      case "version_in_force": {
        const { document, version, node } = event;
        return this.#startVersions.has(`${document} ${version}`)
          ? undefined
          : `node ${node} has ${document} version ${version} in force`;
      }
      case "session_ended":
        return "the session ends";
    }
  }

  #formatResponse(event: SessionEventOf<"response_received">): string {
    const name = this.#requestName(event.sending);
    switch (event.result) {
      case "complete":
        return `${event.caller} gets the whole answer to ${name}, ${event.bytes} bytes`;
      case "cut":
        return `${event.caller} notices that the answer to ${name} is cut`;
      case "lost":
        return `${event.caller} gets no answer to ${name}`;
      case "rejected":
        return `${event.caller} gets ${event.error} for ${name}, run ${event.run}`;
    }
  }

  #formatEnd(event: SessionEventOf<"execution_ended">): string {
    const run = this.#executions.get(event.execution)!;
    const what = run.root ? run.identity : `the call for ${run.identity}`;
    switch (event.result) {
      case "complete":
        return event.storedBytes === undefined
          ? `${event.server} ends ${what}`
          : `${event.server} ends ${what} and stores ${event.storedBytes} of ${event.sentBytes} bytes`;
      case "interrupted":
        return `${event.server} is interrupted in ${what}`;
      case "cut_body":
        return `${event.server} discards the cut body of ${what}`;
    }
  }

  #formatAdmission(
    event: SessionEventOf<"admission_answered">,
  ): string | undefined {
    const { node, work, at } = this.#admissions.get(event.admissionId)!;
    if (event.refusal !== undefined) {
      return `node ${node} refuses one ${work}: ${event.refusal}`;
    }
    const waited = Math.round(event.at - at);
    return waited < 1
      ? undefined
      : `node ${node} admits one ${work} after ${waited} ms`;
  }

  #requestName(sending: number): string {
    return this.#requests.get(sending)?.identity ?? `sending ${sending}`;
  }
}
