import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import {NullLogger} from '../../common/core/log.js';
import {planMemory} from '../../common/memory/memory-plan.js';
import {PlatformProtocol} from '../../../platform/protocol.js';
import type {ControlAdminClient} from '../control/control-admin-client.js';
import {EvacuationOrders} from '../control/evacuation-orders.js';
import {waitUntil} from '../control/test-helper.js';
import {MemoryKeeper} from '../memory/memory-keeper.js';
import {RequestIntake} from '../memory/request-intake.js';
import {PromMetrics} from '../observability/prom-metrics.js';
import {allocatePort} from '../../load/ports.js';
import {FleetHttpServers} from './fleet-http-servers.js';

for (const leave of ['end', 'destroy'] as const) {
	test(`an operator's call that is read after the operator has left (${leave}) orders no evacuation`, async t => {
		const [operators, ready, directory, metricsPort] = [await allocatePort(), await allocatePort(), await allocatePort(), await allocatePort()];
		let read: (() => void) | undefined;
		let answered = 0;
		let ordered = 0;
		const adminClient = {
			async readDrains() {
				await new Promise<void>(resolve => {
					read = resolve;
				});
				answered++;
				return {revision: 1, drains: []};
			},
			async setEvacuation() {
				ordered++;
				return {kind: 'done' as const, revision: 2};
			},
		};
		const clock = new ManualClock();
		const metrics = new PromMetrics({});
		const plan = planMemory(undefined);
		const memory = new MemoryKeeper({
			totalBytes: plan.totalBytes, maxRequestBytes: plan.maxRequestBytes, maxOwnerShare: 1, clock, logger: new NullLogger(), metrics,
		});
		const servers = await FleetHttpServers.start({
			protocol: new PlatformProtocol(),
			adminClient: adminClient as unknown as ControlAdminClient,
			evacuations: new EvacuationOrders(adminClient, clock),
			isKnownZone: () => true,
			logger: new NullLogger(),
			members: () => [],
			clock,
			memory,
			plan,
			intake: new RequestIntake({
				memory, clock, logger: new NullLogger(), metrics,
			}),
			namedRegions: () => [],
			regionByZone: new Map(),
			random: () => 0,
			isReady: () => true,
			listen: {
				operators: `127.0.0.1:${operators}`, ready: `127.0.0.1:${ready}`, directory: `127.0.0.1:${directory}`, metrics: `127.0.0.1:${metricsPort}`,
			},
			metrics,
			dump: () => undefined,
		});
		t.after(async () => servers.dispose());
		const call = async () => {
			const socket = connect(operators, '127.0.0.1');
			await once(socket, 'connect');
			socket.write('POST /v1/evacuations/z1 HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n');
			await waitUntil(() => read !== undefined);
			return socket;
		};

		const staying = await call();
		read!();
		await once(staying, 'data');
		assert.deepEqual([answered, ordered], [1, 1]);
		staying.destroy();
		read = undefined;
		const leaving = await call();
		leaving[leave]();
		await once(leaving, 'close');
		read!();
		await waitUntil(() => answered === 2);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		assert.equal(ordered, 1);
	});
}
