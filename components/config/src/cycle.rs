//! Cycles in graphs whose nodes are numbers.

/// A graph: for each node the nodes that its edges lead to.
pub(crate) type Edges = Vec<Vec<usize>>;

/// An edge that closes a cycle.
pub(crate) struct CycleEdge {
    /// The nodes from the cycle's first to the one whose edge closes it.
    pub(crate) path: Vec<usize>,
    /// Which edge of the last node it is.
    pub(crate) edge: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum Visit {
    New,
    OnPath,
    Done,
}

/// Each edge that closes a cycle on a walk in depth through the graph. The graph has
/// a cycle exactly if there is one.
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
    // Each step holds a node and its next edge; a stack of our own, as a long chain
    // of dependencies must not exhaust the thread's.
    let mut steps = vec![(root, 0)];
    visits[root] = Visit::OnPath;
    while let Some((node, edge)) = steps.last().copied() {
        let Some(&next) = edges[node].get(edge) else {
            visits[node] = Visit::Done;
            steps.pop();
            continue;
        };
        if let Some(step) = steps.last_mut() {
            step.1 += 1;
        }
        match visits[next] {
            Visit::Done => {}
            Visit::OnPath => found.push(cycle_edge(&steps, next, edge)),
            Visit::New => {
                visits[next] = Visit::OnPath;
                steps.push((next, 0));
            }
        }
    }
}

fn cycle_edge(steps: &[(usize, usize)], first: usize, edge: usize) -> CycleEdge {
    let nodes = steps.iter().map(|&(node, _)| node);
    CycleEdge {
        path: nodes.skip_while(|&node| node != first).collect(),
        edge,
    }
}

/// The shortest path from one node to another, both included.
pub(crate) fn shortest_path(edges: &Edges, from: usize, to: usize) -> Option<Vec<usize>> {
    let mut came_from = vec![None; edges.len()];
    let mut queue = std::collections::VecDeque::from([from]);
    while let Some(node) = queue.pop_front() {
        if node == to {
            return Some(trace_back(&came_from, from, to));
        }
        for &next in &edges[node] {
            if next != from && came_from[next].is_none() {
                came_from[next] = Some(node);
                queue.push_back(next);
            }
        }
    }
    None
}

fn trace_back(came_from: &[Option<usize>], from: usize, to: usize) -> Vec<usize> {
    let mut nodes = vec![to];
    let mut at = to;
    while at != from {
        let Some(before) = came_from[at] else { break };
        nodes.push(before);
        at = before;
    }
    nodes.reverse();
    nodes
}

/// For each node the number of its component: two nodes have the same one exactly if
/// each can be reached from the other. Takes time in proportion to the edges (two walks
/// in depth, the second one against the edges, after Kosaraju).
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

/// The nodes in the order in which a walk in depth is done with them.
fn finish_order(edges: &Edges) -> Vec<usize> {
    let mut order = Vec::with_capacity(edges.len());
    let mut seen = vec![false; edges.len()];
    for root in 0..edges.len() {
        let mut steps = Vec::new();
        if !std::mem::replace(&mut seen[root], true) {
            steps.push((root, 0));
        }
        while let Some(step) = steps.last_mut() {
            let (node, edge) = *step;
            step.1 += 1;
            match edges[node].get(edge) {
                Some(&next) if !seen[next] => {
                    seen[next] = true;
                    steps.push((next, 0));
                }
                Some(_) => {}
                None => {
                    order.push(node);
                    steps.pop();
                }
            }
        }
    }
    order
}

/// Gives all unlabelled nodes that the root reaches its number.
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
