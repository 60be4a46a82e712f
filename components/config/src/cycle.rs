//! Cycle detection, shortest paths and strongly connected components in graphs with numbered nodes.

/// Adjacency list: for each node, the targets of its edges.
pub(crate) type Edges = Vec<Vec<usize>>;

/// A back edge of a depth-first search; it closes a cycle.
pub(crate) struct CycleEdge {
    /// Nodes of the cycle in order; the last one has the edge back to the first.
    pub(crate) path: Vec<usize>,
    /// Index of the closing edge among the edges of the last node.
    pub(crate) edge: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum Visit {
    New,
    OnPath,
    Done,
}

/// Returns the back edges of a depth-first search. The graph has a cycle if and only if there is at
/// least one.
pub(crate) fn cycle_edges(edges: &Edges) -> Vec<CycleEdge> {
    let mut visits = vec![Visit::New; edges.len()];
    let mut found = Vec::new();
    for root in 0..edges.len() {
        if visits[root] == Visit::New {
            depth_first_search(edges, root, &mut visits, &mut found);
        }
    }
    found
}

fn depth_first_search(
    edges: &Edges,
    root: usize,
    visits: &mut [Visit],
    found: &mut Vec<CycleEdge>,
) {
    // Each entry holds a node and the index of its next edge. The stack is on the heap because a
    // long chain of dependencies would exhaust the thread's stack.
    let mut stack = vec![(root, 0)];
    visits[root] = Visit::OnPath;
    while let Some((node, edge)) = stack.last().copied() {
        let Some(&next) = edges[node].get(edge) else {
            visits[node] = Visit::Done;
            stack.pop();
            continue;
        };
        if let Some(top) = stack.last_mut() {
            top.1 += 1;
        }
        match visits[next] {
            Visit::Done => {}
            Visit::OnPath => found.push(cycle_edge(&stack, next, edge)),
            Visit::New => {
                visits[next] = Visit::OnPath;
                stack.push((next, 0));
            }
        }
    }
}

fn cycle_edge(stack: &[(usize, usize)], first: usize, edge: usize) -> CycleEdge {
    let nodes = stack.iter().map(|&(node, _)| node);
    CycleEdge {
        path: nodes.skip_while(|&node| node != first).collect(),
        edge,
    }
}

/// The shortest path between two nodes, including both.
pub(crate) fn shortest_path(edges: &Edges, from: usize, to: usize) -> Option<Vec<usize>> {
    let mut parents = vec![None; edges.len()];
    let mut queue = std::collections::VecDeque::from([from]);
    while let Some(node) = queue.pop_front() {
        if node == to {
            return Some(trace_back(&parents, from, to));
        }
        for &next in &edges[node] {
            if next != from && parents[next].is_none() {
                parents[next] = Some(node);
                queue.push_back(next);
            }
        }
    }
    None
}

fn trace_back(parents: &[Option<usize>], from: usize, to: usize) -> Vec<usize> {
    let mut nodes = vec![to];
    let mut node = to;
    while node != from {
        let Some(parent) = parents[node] else { break };
        nodes.push(parent);
        node = parent;
    }
    nodes.reverse();
    nodes
}

/// Returns the strongly connected component of each node, after Kosaraju: two nodes have the same
/// number if and only if each can be reached from the other. The run time is linear in the number
/// of edges.
pub(crate) fn components(edges: &Edges) -> Vec<usize> {
    let mut back_edges: Edges = vec![Vec::new(); edges.len()];
    for (node, to) in edges.iter().enumerate() {
        to.iter().for_each(|&to| back_edges[to].push(node));
    }
    let mut components = vec![None; edges.len()];
    for root in finish_order(edges).into_iter().rev() {
        label_component(&back_edges, root, &mut components);
    }
    components.into_iter().flatten().collect()
}

/// The nodes in post-order of a depth-first search.
fn finish_order(edges: &Edges) -> Vec<usize> {
    let mut order = Vec::with_capacity(edges.len());
    let mut seen = vec![false; edges.len()];
    for root in 0..edges.len() {
        let mut stack = Vec::new();
        if !std::mem::replace(&mut seen[root], true) {
            stack.push((root, 0));
        }
        while let Some(top) = stack.last_mut() {
            let (node, edge) = *top;
            top.1 += 1;
            match edges[node].get(edge) {
                Some(&next) if !seen[next] => {
                    seen[next] = true;
                    stack.push((next, 0));
                }
                Some(_) => {}
                None => {
                    order.push(node);
                    stack.pop();
                }
            }
        }
    }
    order
}

/// Assigns the root as component number to every node that it reaches and that has none yet.
fn label_component(edges: &Edges, root: usize, components: &mut [Option<usize>]) {
    let mut nodes = vec![root];
    while let Some(node) = nodes.pop() {
        if components[node].is_some() {
            continue;
        }
        components[node] = Some(root);
        nodes.extend(&edges[node]);
    }
}
