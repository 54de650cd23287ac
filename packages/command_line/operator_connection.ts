import { type Client, ConnectError, createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { OperatorService } from "@oleanderdeck/protocol";
import type { CommandContext } from "./command_context.ts";
import { toCommandError, usageError } from "./command_error.ts";

/** Client of the operator service. */
export type OperatorClient = Client<typeof OperatorService>;

/** Connection to the control port of a node. */
export class OperatorConnection {
  readonly #sessions: Http2SessionManager;
  /** Address of the node. */
  readonly node: string;
  readonly client: OperatorClient;

  /**
   * @param context Address, token and timeout.
   * @throws {CommandError} If there is no token.
   */
  constructor(context: CommandContext) {
    const { token } = context;
    if (token === undefined || !/^\S+$/.test(token)) {
      throw usageError(
        "A token is needed: --token, --token-file or OLEANDERDECK_TOKEN",
      );
    }
    const baseUrl = `http://${context.node}`;
    this.node = context.node;
    this.#sessions = new Http2SessionManager(baseUrl);
    this.client = createClient(
      OperatorService,
      createConnectTransport({
        baseUrl,
        httpVersion: "2",
        sessionManager: this.#sessions,
        defaultTimeoutMs: context.timeoutMs,
        interceptors: [(next) => (request) => {
          request.header.set("authorization", `Bearer ${token}`);
          return next(request);
        }],
      }),
    );
  }

  /**
   * Makes a call and turns its error into the error of the command.
   *
   * @param run Makes the call.
   * @throws {CommandError} If the call failed.
   */
  async call<Answer>(
    run: (client: OperatorClient) => Promise<Answer>,
  ): Promise<Answer> {
    try {
      return await run(this.client);
    } catch (error) {
      throw toCommandError(ConnectError.from(error), this.node);
    }
  }

  /** Closes the connection. */
  close(): void {
    // An idle connection does not keep the process alive; aborting one while it
    // ends after a GOAWAY frame raises an uncaught exception in connect-node.
    if (this.#sessions.state() !== "idle") this.#sessions.abort();
  }
}

/**
 * Opens a connection for the time of a function.
 *
 * @param context Address, token and timeout.
 * @param use Uses the connection.
 */
export async function withConnection<Result>(
  context: CommandContext,
  use: (connection: OperatorConnection) => Promise<Result>,
): Promise<Result> {
  const connection = new OperatorConnection(context);
  try {
    return await use(connection);
  } finally {
    connection.close();
  }
}
