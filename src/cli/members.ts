import type {Command} from 'commander';
import {callOperatorApi, withOperatorOptions} from './operator-client.js';
import type {OperatorOptions} from './operator-client.js';
import {describeJson, printReply} from './output.js';

/** Adds the subcommands `members list`, `members add` and `members remove`, which list the control VMs and add or remove one control VM at a time. */
export function registerMembers(program: Command): void {
	const members = program.command('members').description('list and change the control VMs; ask the leader');
	withOperatorOptions(members.command('list').description('list members and disks that ask for admission'))
		.addHelpText('after', '\nExample:\n  $ jasminehead members list --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (options: OperatorOptions) => {
			printReply(options, await callOperatorApi(options, 'GET', '/v1/members'), describeJson);
		});
	withOperatorOptions(members.command('add').description('add a VM as a learner; it becomes a voter once it has caught up'))
		.argument('<vm>', 'name of the VM')
		.requiredOption('--disk-id <id>', 'id that `members list` shows among the join requests')
		.addHelpText('after', '\nExample:\n  $ jasminehead members add control-4 --disk-id 7f3a --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (vm: string, options: OperatorOptions & {diskId: string}) => {
			printReply(options, await callOperatorApi(options, 'POST', '/v1/members', {kind: 'add', vm, diskId: options.diskId}), describeJson);
		});
	withOperatorOptions(members.command('remove').description('remove a VM from the replicated log'))
		.argument('<vm>', 'name of the VM')
		.addHelpText('after', '\nExample:\n  $ jasminehead members remove control-2 --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (vm: string, options: OperatorOptions) => {
			printReply(options, await callOperatorApi(options, 'POST', '/v1/members', {kind: 'remove', vm}), describeJson);
		});
}
