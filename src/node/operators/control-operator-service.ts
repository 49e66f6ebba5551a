import {createHash} from 'node:crypto';
import type {z} from 'zod';
import type {MemberChangeReply} from '../../common/reducer.js';
import {OperatorService} from '../../common/services/operator-service.js';
import type {
	configApplySchema, drainSetSchema, keyIssueSchema, keyWithdrawSchema, memberChangeSchema, OperatorProblem, OperatorResult, orderSubmitSchema,
} from '../../common/services/operator-service.js';
import type {ControlAdminClient} from '../control/control-admin-client.js';

type Refusal = {readonly kind: 'refused'; readonly code: string};

const refusalStatusByCode: Readonly<Record<string, number>> = {
	'not-found': 404, 'unknown-tenant': 422, invalid: 422, 'too-many': 429,
};

function okResult(body: unknown): OperatorResult {
	return {ok: true, body};
}

function refusalResult({code}: Refusal): OperatorResult {
	const problem: OperatorProblem = {status: refusalStatusByCode[code] ?? 409, code, detail: `the change was refused: ${code}`};
	return {ok: false, problem};
}

/** Derives the id of a new object from the change id, so that a retry of the change refers to the same object. */
function deriveId(prefix: string, changeId: string): string {
	return `${prefix}-${createHash('sha256').update(changeId).digest('hex').slice(0, 16)}`;
}

/** Lists and changes the members of the replicated log through the replica in this process. */
export type ReplicaMembers = {
	list(): unknown;
	change(change: z.infer<typeof memberChangeSchema>): Promise<MemberChangeReply>;
};

const notControlResult: OperatorResult = {ok: false, problem: {status: 421, code: 'not-control', detail: 'this process has no replica; ask a control VM'}};

/** Implements the operator API on the replicated state. Listing and changing the members of the replicated log is refused if this process has no replica. */
export class ControlOperatorService extends OperatorService {
	constructor(private readonly _adminClient: ControlAdminClient, private readonly _replica: ReplicaMembers | undefined) {
		super();
	}

	override async readConfiguration(version?: number): Promise<OperatorResult> {
		const result = await this._adminClient.getConfiguration(version);
		return result.source === undefined
			? {ok: false, problem: {status: 404, code: 'not-found', detail: `version ${version ?? result.version} is not kept`}}
			: okResult(result);
	}

	override async readConfigurationHistory(): Promise<OperatorResult> {
		return okResult(await this._adminClient.getHistory());
	}

	override async applyConfiguration({source, expectedVersion, changeId}: z.infer<typeof configApplySchema>): Promise<OperatorResult> {
		const result = await this._adminClient.applyConfiguration(source, expectedVersion, changeId);
		switch (result.kind) {
			case 'applied': {
				return okResult({version: result.version, revision: result.revision});
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
				return refusalResult(result);
			}
		}
	}

	override async listKeys(): Promise<OperatorResult> {
		return okResult({keys: await this._adminClient.listKeys()});
	}

	override async issueKey({tenant: customer, changeId}: z.infer<typeof keyIssueSchema>): Promise<OperatorResult> {
		const result = await this._adminClient.issueKey(customer, deriveId('key', changeId), changeId);
		if (result.kind === 'already-issued') {
			const detail = `key ${result.keyId} was issued by an earlier attempt and cannot be shown again; withdraw it and issue another`;
			return {ok: false, problem: {status: 409, code: 'already-issued', detail}};
		}

		return result.kind === 'refused' ? refusalResult(result) : okResult({keyId: result.keyId, key: result.key});
	}

	override async withdrawKey({keyId, changeId}: z.infer<typeof keyWithdrawSchema>): Promise<OperatorResult> {
		const result = await this._adminClient.withdrawKey(keyId, changeId);
		return result.kind === 'refused' ? refusalResult(result) : okResult({keyId});
	}

	override async listDrains(): Promise<OperatorResult> {
		return okResult({drains: await this._adminClient.listDrains()});
	}

	override async setDrain({kind, name, draining, changeId}: z.infer<typeof drainSetSchema>): Promise<OperatorResult> {
		const result = await this._adminClient.setDrain(kind, name, draining, changeId);
		return result.kind === 'refused' ? refusalResult(result) : okResult({kind, name, draining});
	}

	override async listOrders(): Promise<OperatorResult> {
		return okResult({orders: await this._adminClient.listOrders()});
	}

	override async submitOrder({upstream, order, changeId}: z.infer<typeof orderSubmitSchema>): Promise<OperatorResult> {
		const orderId = deriveId('order', changeId);
		const result = await this._adminClient.submitOrder(upstream, order, orderId, changeId);
		return result.kind === 'refused' ? refusalResult(result) : okResult({orderId});
	}

	override async listMembers(): Promise<OperatorResult> {
		return this._replica ? okResult(this._replica.list()) : notControlResult;
	}

	override async changeMembers(change: z.infer<typeof memberChangeSchema>): Promise<OperatorResult> {
		if (!this._replica) {
			return notControlResult;
		}

		const reply = await this._replica.change(change);
		if (reply.kind === 'changed') {
			return okResult({members: reply.members});
		}

		const isNotLeader = reply.reason === 'not-leader';
		const detail = isNotLeader ? `ask the leader, ${reply.leader ?? 'which is not known'}` : `the change was refused: ${reply.reason}`;
		return {
			ok: false, problem: {
				status: isNotLeader ? 421 : 409, code: reply.reason, detail, leader: reply.leader,
			},
		};
	}
}
