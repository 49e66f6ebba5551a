import {createHash} from 'node:crypto';
import type {z} from 'zod';
import type {MemberChangeReply} from '../../common/reducer.js';
import {OperatorService} from '../../common/services/operator-service.js';
import type {
	configApplySchema, drainSetSchema, keyIssueSchema, keyWithdrawSchema, memberChangeSchema, OperatorProblem, OperatorResult, orderSubmitSchema,
} from '../../common/services/operator-service.js';
import type {ControlOperator} from '../control/control-operator.js';

type Refusal = {readonly kind: 'refused'; readonly code: string};

const refusalStatus: Readonly<Record<string, number>> = {
	'not-found': 404, 'unknown-tenant': 422, invalid: 422, 'too-many': 429,
};

function ok(body: unknown): OperatorResult {
	return {ok: true, body};
}

function refused({code}: Refusal): OperatorResult {
	const problem: OperatorProblem = {status: refusalStatus[code] ?? 409, code, detail: `the change was refused: ${code}`};
	return {ok: false, problem};
}

/** Derives an id from the change id, so that a resend names the same object. */
function idFor(prefix: string, changeId: string): string {
	return `${prefix}-${createHash('sha256').update(changeId).digest('hex').slice(0, 16)}`;
}

/** The members of the replicated log as a control VM knows them. */
export type ReplicaMembers = {
	list(): unknown;
	change(change: z.infer<typeof memberChangeSchema>): Promise<MemberChangeReply>;
};

const notControl: OperatorResult = {ok: false, problem: {status: 421, code: 'not-control', detail: 'this process has no replica; ask a control VM'}};

/** Serves operators from the replicated state machine. */
export class ControlOperatorService extends OperatorService {
	constructor(private readonly _operator: ControlOperator, private readonly _replica: ReplicaMembers | undefined) {
		super();
	}

	override async configuration(version?: number): Promise<OperatorResult> {
		const result = await this._operator.getConfiguration(version);
		return result.source === undefined
			? {ok: false, problem: {status: 404, code: 'not-found', detail: `version ${version ?? result.version} is not kept`}}
			: ok(result);
	}

	override async configurationHistory(): Promise<OperatorResult> {
		return ok(await this._operator.getHistory());
	}

	override async applyConfiguration({source, expectedVersion, changeId}: z.infer<typeof configApplySchema>): Promise<OperatorResult> {
		const result = await this._operator.applyConfiguration(source, expectedVersion, changeId);
		switch (result.kind) {
			case 'applied': {
				return ok({version: result.version, revision: result.revision});
			}

			case 'conflict': {
				return {
					ok: false,
					problem: {
						status: 409, code: 'version-conflict', detail: `the current version is ${result.version}, not ${expectedVersion}`, version: result.version,
					},
				};
			}

			case 'faulty': {
				const detail = result.issues.map(({line, path, message}) => `line ${line}: ${path}: ${message}`).join('; ');
				return {
					ok: false, problem: {
						status: 422, code: 'invalid-configuration', detail, issues: result.issues,
					},
				};
			}

			case 'refused': {
				return refused(result);
			}
		}
	}

	override async keys(): Promise<OperatorResult> {
		return ok({keys: await this._operator.listKeys()});
	}

	override async issueKey({tenant, changeId}: z.infer<typeof keyIssueSchema>): Promise<OperatorResult> {
		const result = await this._operator.issueKey(tenant, idFor('key', changeId), changeId);
		if (result.kind === 'already-issued') {
			const detail = `key ${result.keyId} was issued by an earlier attempt and cannot be shown again; withdraw it and issue another`;
			return {ok: false, problem: {status: 409, code: 'already-issued', detail}};
		}

		return result.kind === 'refused' ? refused(result) : ok({keyId: result.keyId, key: result.key});
	}

	override async withdrawKey({keyId, changeId}: z.infer<typeof keyWithdrawSchema>): Promise<OperatorResult> {
		const result = await this._operator.withdrawKey(keyId, changeId);
		return result.kind === 'refused' ? refused(result) : ok({keyId});
	}

	override async drains(): Promise<OperatorResult> {
		return ok({drains: await this._operator.listDrains()});
	}

	override async setDrain({kind, name, draining, changeId}: z.infer<typeof drainSetSchema>): Promise<OperatorResult> {
		const result = await this._operator.setDrain(kind, name, draining, changeId);
		return result.kind === 'refused' ? refused(result) : ok({kind, name, draining});
	}

	override async orders(): Promise<OperatorResult> {
		return ok({orders: await this._operator.listOrders()});
	}

	override async submitOrder({upstream, order, changeId}: z.infer<typeof orderSubmitSchema>): Promise<OperatorResult> {
		const orderId = idFor('order', changeId);
		const result = await this._operator.submitOrder(upstream, order, orderId, changeId);
		return result.kind === 'refused' ? refused(result) : ok({orderId});
	}

	override async members(): Promise<OperatorResult> {
		return this._replica ? ok(this._replica.list()) : notControl;
	}

	override async changeMembers(change: z.infer<typeof memberChangeSchema>): Promise<OperatorResult> {
		if (!this._replica) {
			return notControl;
		}

		const reply = await this._replica.change(change);
		if (reply.kind === 'changed') {
			return ok({members: reply.members});
		}

		const isElsewhere = reply.reason === 'not-leader';
		const detail = isElsewhere ? `ask the leader, ${reply.leader ?? 'which is not known'}` : `the change was refused: ${reply.reason}`;
		return {
			ok: false, problem: {
				status: isElsewhere ? 421 : 409, code: reply.reason, detail, leader: reply.leader,
			},
		};
	}
}
