import type { AdmittedAttempt } from "@oleanderdeck/admission";
import type {
  PolicyView,
  RequestRule,
  ServicePolicy,
} from "@oleanderdeck/agreement";
import { DeckError } from "@oleanderdeck/errors";
import type { Outcome, Permit } from "@oleanderdeck/idempotency";
import { MemberState } from "@oleanderdeck/protocol";
import { Allowance } from "@oleanderdeck/retries";
import {
  rejection,
  type SessionAnswer,
  type SessionCall,
} from "./session_call.ts";
import { NodeAttempt } from "./node_attempt.ts";
import { toAnswer, toOutcome } from "./permit_outcome.ts";
import type { SessionNode } from "./session_node.ts";

/** Expected duration of an attempt, in milliseconds. */
const EXPECTED_DURATION_MS = 10;

/**
 * One call at a node with all its attempts. It has the same steps as a call at
 * the call server: permit, admission, attempt, retry.
 */
export class NodeCall {
  readonly #node: SessionNode;
  readonly #call: SessionCall;
  readonly #deadline: number;
  readonly #view: PolicyView;
  readonly #shedKey: number;
  #policy!: ServicePolicy;
  #rule!: RequestRule;
  #allowance: Allowance | undefined;
  #permit: Permit | undefined;
  #issuer: AdmittedAttempt | undefined;
  #permitText: string | undefined;
  #attempts = 0;
  #mayHaveRun = false;

  constructor(node: SessionNode, call: SessionCall) {
    this.#node = node;
    this.#call = call;
    this.#deadline = node.clock.now() + call.timeoutMs;
    this.#view = node.replica.view();
    this.#shedKey = call.parent?.shedKey ?? call.sending * 37 % 128;
  }

  /** Runs the call and returns its response. */
  async run(): Promise<SessionAnswer> {
    const answer = await this.#run();
    return answer.error === undefined
      ? answer
      : { ...answer, rejectedAt: answer.rejectedAt ?? this.#node.clock.now() };
  }

  async #run(): Promise<SessionAnswer> {
    const { organisation, service, method, path, mode, parent } = this.#call;
    const node = this.#node;
    if (!node.replica.isReady()) return this.#rejectBeforeStart("not_ready");
    if (node.draining && parent === undefined) {
      return this.#rejectBeforeStart("draining");
    }
    const policy = this.#view.service(service);
    if (policy === undefined) {
      return rejection(new DeckError("no_such_service"));
    }
    this.#policy = policy;
    this.#rule = this.#view.rule({ organisation, service, method, path });
    const limit = node.clock.sleep(this.#deadline - node.clock.now())
      .then(() => "deadline" as const);
    const pending = this.#rule.idempotent || mode === "serve"
      ? this.#attemptAll(limit)
      : this.#runAtMostOnce(limit);
    const answer = await pending;
    return mode === undefined || parent === undefined
      ? answer
      : { ...answer, ...this.#peerFields(parent.callId, parent.lentRetries) };
  }

  /**
   * Rejects a call before it is processed. Only the issuer of a permit can
   * report whether the request with that permit was run; at other nodes, the
   * status is unknown.
   */
  #rejectBeforeStart(kind: "not_ready" | "draining"): SessionAnswer {
    const { ledger } = this.#node;
    const { permit } = this.#call;
    const unused = permit === undefined ||
      ledger.check(permit).map((checked) =>
        ledger.isOwn(checked) && ledger.outcome(checked) === undefined
      ).orDefault(false);
    return rejection(new DeckError(kind, unused ? {} : { run: "unknown" }));
  }

  #peerFields(callId: Uint8Array, lent: number) {
    return {
      threshold: this.#node.admission.threshold(this.#call.service),
      unusedRetries: Math.min(this.#node.allowances.close(callId), lent),
    };
  }

  async #runAtMostOnce(limit: Promise<"deadline">): Promise<SessionAnswer> {
    const { ledger } = this.#node;
    const { permit, organisation, method, service, path } = this.#call;
    this.#permitText = permit ?? ledger.issue();
    const withPermit = { permit: this.#permitText };
    if (permit === undefined && this.#rule.permit === "required") {
      return rejection(new DeckError("permit_required"), withPermit);
    }
    const checked = ledger.check(this.#permitText);
    if (checked.isLeft()) {
      return rejection(checked.swap().unsafeCoerce(), withPermit);
    }
    const parsed = checked.unsafeCoerce();
    if (!ledger.isOwn(parsed)) {
      const error = this.#findIssuer(parsed);
      if (error !== undefined) return rejection(error, withPermit);
      return { ...await this.#attemptAll(limit), ...withPermit };
    }
    const decision = ledger.begin(
      parsed,
      `${organisation} ${method} ${service}${path}`,
    );
    switch (decision.action) {
      case "refuse":
        return rejection(decision.error, withPermit);
      case "answer":
        return { ...toAnswer(decision.outcome), ...withPermit };
      case "join": {
        const outcome = await Promise.race([
          new Promise<Outcome>((resolve) => decision.onOutcome(resolve)),
          limit,
        ]);
        return {
          ...outcome === "deadline"
            ? rejection(new DeckError("deadline_exceeded"))
            : toAnswer(outcome),
          ...withPermit,
        };
      }
      case "run": {
        this.#permit = parsed;
        const answer = await this.#attemptAll(limit);
        ledger.finish(parsed, toOutcome(answer));
        return { ...answer, ...withPermit };
      }
    }
  }

  #findIssuer(permit: Permit): DeckError | undefined {
    const member = this.#node.peer.find(permit.nodeId);
    if (this.#call.mode !== undefined) {
      return new DeckError("malformed_request");
    }
    if (
      member === undefined || member.incarnation !== permit.incarnation ||
      member.state === MemberState.DEAD || member.state === MemberState.LEFT
    ) return new DeckError("outcome_unknown");
    this.#issuer = {
      target: {
        kind: "forward",
        nodeId: member.nodeId,
        incarnation: member.incarnation,
        address: member.callAddress,
        fence: "",
      },
      finish: () => {},
    };
    return undefined;
  }

  async #attemptAll(limit: Promise<"deadline">): Promise<SessionAnswer> {
    const { clock, retryBudget, retryPolicy } = this.#node;
    const { organisation, mode } = this.#call;
    let excluded: readonly string[] = [];
    let failure: DeckError | undefined;
    while (true) {
      const admitted = this.#issuer ?? await this.#admit(excluded, limit);
      if (admitted instanceof DeckError) {
        if (failure !== undefined) this.#allowance?.restore(1);
        return this.#reject(failure ?? admitted);
      }
      this.#allowance ??= this.#openAllowance();
      if (++this.#attempts === 1) retryBudget.countFirstAttempt(organisation);
      const result = await new NodeAttempt(this.#node, this.#call, {
        admitted,
        allowance: this.#allowance,
        attempt: this.#attempts,
        deadline: this.#deadline,
        progressTimeoutMs: this.#policy.progressTimeoutMs,
        priority: this.#call.parent?.priority ?? this.#rule.priority,
        shedKey: this.#shedKey,
        issuedPermit: this.#issuer === undefined ? undefined : this.#permitText,
      }).run(limit);
      if (result.error !== undefined && result.error.run !== "no") {
        this.#mayHaveRun = true;
      }
      if (result.error === undefined) return result.answer;
      if (this.#issuer !== undefined) {
        if (!result.fromServingNode) {
          return this.#reject(new DeckError("outcome_unknown"));
        }
        const { rejectedAt } = result;
        return {
          ...this.#reject(result.error),
          ...rejectedAt === undefined ? {} : { rejectedAt },
        };
      }
      failure = result.error;
      const delay = result.retry && mode !== "serve"
        ? retryPolicy.delayMs({
          kind: failure.kind,
          run: failure.run,
          idempotent: this.#rule.idempotent,
          bodyResendable: this.#call.bodyBytes <= 65_536,
          attempt: this.#attempts,
          timeLeftMs: this.#deadline - clock.now(),
          expectedDurationMs: EXPECTED_DURATION_MS,
        })
        : undefined;
      if (delay === undefined) return this.#reject(failure);
      excluded = [...excluded, admitted.target.nodeId];
      const allowance = this.#allowance;
      if (allowance.remaining === 0 && allowance.hasLoans) {
        await allowance.recover(this.#node.dependencies.settlement);
      }
      if (!allowance.take()) return this.#reject(failure);
      if (!retryBudget.take(organisation)) {
        allowance.restore(1);
        return this.#reject(failure);
      }
      await clock.sleep(delay);
    }
  }

  async #admit(
    excludedNodes: readonly string[],
    limit: Promise<"deadline">,
  ): Promise<AdmittedAttempt | DeckError> {
    const { admission, nodeId, dependencies: { recorder } } = this.#node;
    const { service, organisation, mode, parent, work } = this.#call;
    const admissionId = recorder.nextNumber();
    const forwarded = mode === "serve";
    const priority = parent?.priority ?? this.#rule.priority;
    recorder.record({
      kind: "admission_asked",
      node: nodeId,
      queue: forwarded ? `${service} forwarded` : service,
      admissionId,
      sending: this.#call.sending,
      priority,
      work,
    });
    const withdrawal = new AbortController();
    void limit.then(() => withdrawal.abort());
    const answer = await admission.admit({
      service,
      organisation,
      priority,
      shedKey: this.#shedKey,
      deadline: this.#deadline,
      excludedNodes,
      countsForLimit: !this.#call.child && this.#attempts === 0 && !forwarded,
      forwarded,
      callingService: mode === undefined ? parent?.service : undefined,
    }, withdrawal.signal);
    recorder.record({
      kind: "admission_answered",
      admissionId,
      refusal: answer.isLeft() ? answer.swap().unsafeCoerce().kind : undefined,
    });
    return answer.extract();
  }

  #reject(last: DeckError): SessionAnswer {
    const error = this.#mayHaveRun && last.run === "no" &&
        !this.#node.dependencies.variant.reportsLostAsNotRun
      ? new DeckError(last.kind, { run: "unknown" })
      : last;
    return rejection(error);
  }

  #openAllowance(): Allowance {
    const { parent } = this.#call;
    const node = this.#node;
    const isAudience = parent === undefined ||
      parent.audience === node.nodeId &&
        parent.audienceIncarnation === node.incarnation;
    if (!isAudience) return new Allowance(0);
    return node.retryPolicy.allowance({
      policyRetries: this.#policy.retries,
      requestedRetries: undefined,
      parent,
    });
  }
}
