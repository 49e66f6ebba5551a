import type {Command} from 'commander';
import {callOperatorApi, withChangeId, withOperatorOptions} from './operator-client.js';
import type {OperatorOptions} from './operator-client.js';
import {describeJson, printReply} from './output.js';

/** Adds the subcommands `keys issue`, `keys list` and `keys withdraw`. */
export function registerKeys(program: Command): void {
	const keys = program.command('keys').description('issue and withdraw the keys of tenants');
	withChangeId(withOperatorOptions(keys.command('issue').description('issue a key; it is shown only once')))
		.requiredOption('--tenant <name>', 'tenant of the shared configuration')
		.addHelpText('after', '\nExample:\n  $ jasminehead keys issue --operators 127.0.0.1:9100 --token "$TOKEN" --tenant kennel-club')
		.action(async (options: OperatorOptions & {tenant: string}) => {
			const {changeId, tenant: customer} = options;
			const reply = await callOperatorApi(options, 'POST', '/v1/keys', {changeId, tenant: customer});
			printReply(options, reply, body => {
				const {keyId, key} = body as {keyId: string; key: string};
				return `key id: ${keyId}\nkey:    ${key}`;
			});
		});
	withOperatorOptions(keys.command('list').description('list keys without their secrets'))
		.addHelpText('after', '\nExample:\n  $ jasminehead keys list --operators 127.0.0.1:9100 --token "$TOKEN" --json')
		.action(async (options: OperatorOptions) => {
			printReply(options, await callOperatorApi(options, 'GET', '/v1/keys'), describeJson);
		});
	withChangeId(withOperatorOptions(keys.command('withdraw').description('withdraw a key; requests that use it are ended')))
		.argument('<key-id>', 'id printed by `keys issue`')
		.addHelpText('after', '\nExample:\n  $ jasminehead keys withdraw k-1f2e3d --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (keyId: string, options: OperatorOptions & {changeId: string}) => {
			const reply = await callOperatorApi(options, 'DELETE', `/v1/keys/${encodeURIComponent(keyId)}?changeId=${encodeURIComponent(options.changeId)}`);
			printReply(options, reply, () => `key ${keyId} withdrawn`);
		});
}
